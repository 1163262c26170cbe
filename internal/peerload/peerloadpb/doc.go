// Package peerloadpb holds the datagram by which instances tell each other
// their load on upstreams.
package peerloadpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative peerload.proto
