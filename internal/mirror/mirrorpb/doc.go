// Package mirrorpb holds the messages by which instances pass on what they
// know of the store.
package mirrorpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative mirror.proto
