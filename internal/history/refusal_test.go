package history

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"foxhall/internal/gateway"
)

// Guards against a refused turn that does not tell which keepers were asked, and what they answered.
func TestRefusalTellsTheAnswersOfTheKeepers(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		fail(retainTurn(c, "p", "first", ""))
		role := cl.roleOf("p")
		cl.machine(role.Primary).pause()
		defer cl.machine(role.Primary).resume()
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout+20*messageDelay)
		defer cancel()
		cl.setStoreUnavailable(true)
		_, err := c.Reserve(ctx, gateway.Reservation{Program: "p", Turn: "second", Previous: "first", MaxOutputTokens: 1, Retain: true})
		var refused *RefusedError
		if !errors.As(err, &refused) || !errors.Is(err, ErrNoKeeperResult) {
			fail(errors.Errorf("got %v, want a RefusedError", err))
			return
		}
		fields := refused.Fields()
		want := fmt.Sprintf("%s timed-out 1x 900ms; %s moved 1x 2ms", role.Primary, role.Backups[0])
		if keepers, _ := fields["keepers"].(string); !strings.HasPrefix(keepers, want) || fields["slice"] != ShardOf("p") || fields["epoch"] != role.Epoch {
			fail(errors.Errorf("got %v, want keepers %q of slice %d in epoch %d", fields, want, ShardOf("p"), role.Epoch))
		}
		cl.setStoreUnavailable(false)
	})
}
