package history

import "foxhall/internal/history/historypb"

// customerSeparator ends a customer's name in a key. No id contains it, since ids come from
// headers.
const customerSeparator = "\x00"

// recordKey returns the key of a program or turn of the customer. Without a customer it is the bare
// id, as in records of older versions.
func recordKey(customer *string, id string) string {
	if customer == nil || *customer == "" {
		return id
	}
	return *customer + customerSeparator + id
}

// ownedBy reports whether the customer may continue a turn. Turns of older versions name no
// customer, so that any customer who names such a turn may continue it.
func ownedBy(t *historypb.Turn, customer *string) bool {
	return t.Customer == nil || customer == nil || *t.Customer == *customer
}

// account returns the token account of the customer's program, or nil. An account of an older
// version goes to the first customer that continues the program.
func (s *state) account(customer *string, program string) *historypb.Account {
	if customer == nil {
		return s.newestAccount(program)
	}
	if a := s.accounts[recordKey(customer, program)]; a != nil {
		return a
	}
	if a := s.accounts[program]; a != nil && a.Customer == nil {
		return a
	}
	return nil
}

// newestAccount finds a program's account for an entry of an older version.
func (s *state) newestAccount(program string) *historypb.Account {
	var newest *historypb.Account
	for _, a := range s.accounts {
		if a.Program == program && (newest == nil || a.Version > newest.Version) {
			newest = a
		}
	}
	return newest
}

func (s *state) putAccount(a *historypb.Account) { s.accounts[recordKey(a.Customer, a.Program)] = a }
