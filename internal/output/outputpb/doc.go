// Package outputpb holds the messages between instances about the output of turns.
package outputpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative output.proto
