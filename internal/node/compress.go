package node

import (
	"compress/gzip"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
)

// minCompressedBytes is the size from which responses to other instances are compressed. A list of
// thousands of replicas takes seconds on slow links otherwise; a few changes are not worth the time.
const minCompressedBytes = 32 << 10

// compressed returns a handler that compresses the large responses of h.
func compressed(h http.Handler) http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Use(middleware.GzipWithConfig(middleware.GzipConfig{Level: gzip.BestSpeed, MinLength: minCompressedBytes}))
	e.Any("/*", echo.WrapHandler(h))
	return e
}
