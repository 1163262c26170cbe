// Package peer is the RPC layer between foxhall's instances: twirp over HTTP on IP addresses.
//
// The package only transports messages: a Server passes each request to the handler of the package
// responsible for it, and a Client sends one request to one address. Responses to callers are not
// streamed through this package; they are relayed over HTTP.
package peer

//go:generate protoc --proto_path=peerpb --go_out=peerpb --go_opt=paths=source_relative --twirp_out=peerpb --twirp_opt=paths=source_relative peer.proto
