package ledger

// refuse tells the callers of a batch that was surely not written.
func (l *Log) refuseBatch(b *batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range b.requests {
		l.refuseRequest(r)
	}
}

// refuseQueue does the same for all that wait.
func (l *Log) refuseQueue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuseQueueLocked()
}

// refuseQueued is refuseQueue for who has the lock.
func (l *Log) refuseQueueLocked() {
	for _, r := range l.queue {
		l.refuseRequest(r)
	}
	l.queue = nil
}

// refuseOne refuses a request, or turns it into a held one. The lock is held.
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

// suspend is called while a written batch can't be settled: callers that may
// hold are told to, what waits is refused, and only callers of Append whose
// records are in the batch go on waiting.
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

// forget takes a request out of the accounts that was surely not written. The
// lock is held.
func (l *Log) discard(r *request) {
	l.pending -= r.size
	if r.seal != nil {
		l.sealing = false
	}
	for _, record := range r.records {
		l.index.noteRefused(record)
	}
}

// detach makes a request a held one, in the order of sequences. The lock is held.
func (l *Log) moveToHeld(r *request) {
	r.isHeld = true
	at := len(l.held)
	for at > 0 && l.held[at-1].records[0].Sequence > r.records[0].Sequence {
		at--
	}
	l.held = append(l.held[:at:at], append([]*request{r}, l.held[at:]...)...)
	r.complete(errHoldByPeers)
}
