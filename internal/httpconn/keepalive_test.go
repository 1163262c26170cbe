package httpconn

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an idle timeout that overflows: the connection would count as timed out at once, or never.
func TestIdleTimeoutsOfServersAreBounded(t *testing.T) {
	is := is.New(t)
	for header, expected := range map[string]time.Duration{
		"timeout=5":                          5*time.Second - idleMargin,
		"timeout=0":                          0,
		"timeout=-9":                         0,
		"timeout=x":                          defaultIdleTimeout,
		"timeout=9223372037":                 maxIdleTimeout - idleMargin,
		"max=3, timeout=9223372036854775807": maxIdleTimeout - idleMargin,
	} {
		c := &conn{idleTimeout: defaultIdleTimeout}
		c.updateIdleTimeout(header)
		is.Equal(c.idleTimeout, expected)
	}
}
