// Package config stores the configuration, which consists of the operators' two lists (plans and
// usage), and distributes it to the instances.
//
// The object API stores both lists behind one manifest. The manifest references content-addressed
// chunks, each a shard of one section, so that an edit of one plan among thousands transfers one
// small chunk. An edit writes its chunks and then updates the manifest on the condition that it has
// not changed since it was read. That conditional update accepts both lists together, and its store
// version is the version of the configuration.
//
// Operators edit the lists with Editor; instances follow them with Source.
package config
