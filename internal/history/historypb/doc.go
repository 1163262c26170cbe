// Package historypb holds the messages between instances about kept turns and
// token accounts.
package historypb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative history.proto
