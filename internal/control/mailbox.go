package control

import "container/list"

// mailbox holds the waiting events of one class, one per key, in the order in
// which the keys arrived.
type mailbox struct {
	order *list.List
	byKey map[string]*list.Element
}

func newMailbox() *mailbox {
	return &mailbox{order: list.New(), byKey: map[string]*list.Element{}}
}

func (m *mailbox) len() int { return m.order.Len() }

// replace replaces a waiting event of the same key, and reports whether there is
// one. The new event takes the old one's position in the queue, so that a key that
// is posted continuously is still applied.
func (m *mailbox) replace(e Event) bool {
	waiting, ok := m.byKey[e.Key()]
	if ok {
		waiting.Value = e
	}
	return ok
}

func (m *mailbox) add(e Event) { m.byKey[e.Key()] = m.order.PushBack(e) }

// pop removes and returns the event that has waited longest.
func (m *mailbox) pop() Event {
	first := m.order.Front()
	e := m.order.Remove(first).(Event)
	delete(m.byKey, e.Key())
	return e
}
