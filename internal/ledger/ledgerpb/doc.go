// Package ledgerpb holds the protobuf messages of the cohort logs.
package ledgerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative ledger.proto
