package ledger

// refuseBatch refuses the requests of a batch that was not written and never will be.
func (l *Log) refuseBatch(b *batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range b.requests {
		l.refuseRequest(r)
	}
}

// refuseQueue refuses all queued requests.
func (l *Log) refuseQueue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuseQueueLocked()
}

// refuseQueueLocked is refuseQueue for callers that hold the lock.
func (l *Log) refuseQueueLocked() {
	for _, r := range l.queue {
		l.refuseRequest(r)
	}
	l.queue = nil
}

// refuseRequest refuses a request, or moves it to the held ones if it may be held. The caller
// holds the lock.
func (l *Log) refuseRequest(r *request) {
	if r.isHeld {
		return
	}
	if r.mayHold && r.state != finished {
		l.moveToHeld(r)
		return
	}
	l.discard(r)
	l.meters.refused.Inc(1)
	r.complete(ErrUnavailable)
}

// suspend is called while the outcome of a batch's write can't be determined. Requests of the
// batch that may be held are moved to the held ones, and the queue is refused. Only callers of
// Append whose records are in the batch continue to wait.
func (l *Log) suspend(b *batch) {
	l.mu.Lock()
	l.suspended = true
	for _, r := range b.requests {
		if r.mayHold && !r.isHeld && r.state != finished {
			l.moveToHeld(r)
		}
	}
	l.mu.Unlock()
	l.refuseQueue()
}

// discard undoes the bookkeeping of a request that was not written and never will be. The caller
// holds the lock.
func (l *Log) discard(r *request) {
	l.pending -= r.size
	if r.seal != nil {
		l.sealing = false
	}
	for _, record := range r.records {
		l.index.noteRefused(record)
	}
}

// moveToHeld inserts a request into the held ones, ordered by sequence, and completes it with
// errHoldByPeers. The caller holds the lock.
func (l *Log) moveToHeld(r *request) {
	r.isHeld = true
	at := len(l.held)
	for at > 0 && l.held[at-1].records[0].Sequence > r.records[0].Sequence {
		at--
	}
	l.held = append(l.held[:at:at], append([]*request{r}, l.held[at:]...)...)
	r.complete(errHoldByPeers)
}
