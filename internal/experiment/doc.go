// Package experiment replays named load patterns against placement policies in virtual time.
// Entries use the product's own placement decisions, upstream tables and prefix cache views; the
// engines are a model that batches, prefills in chunks, caches blocks of prompts, preempts requests
// for more urgent ones and refuses requests when full. With load control, calls wait in the product's
// queue, in its order and with its allowances; the scans of the queue and the refusals follow the
// scheduler, which runs in real time.
//
// The model leaves out transfers of cache contents between engines, connections, and the processor
// time of entries.
package experiment
