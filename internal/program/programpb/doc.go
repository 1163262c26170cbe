// Package programpb holds the generated codec of the program's events.
package programpb

//go:generate protoc --go_out=../../.. --go_opt=module=foxhall --proto_path=. program.proto
