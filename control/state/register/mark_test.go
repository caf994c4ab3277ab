package register

import "testing"

func TestTheMarkFollowsEachSeat(t *testing.T) {
	voters := Voters{Generation: 3, Seats: []Seat{{Address: "10.0.0.1:1", Incarnation: 5}, {Address: "10.0.0.2:1", Incarnation: 6}}}
	first := voters.Mark()
	if again := voters.Mark(); again != first || first != voters.sum() {
		t.Fatalf("%d, then %d; the sum is %d", first, again, voters.sum())
	}
	changes := map[string]func(*Voters){
		"generation":  func(voters *Voters) { voters.Generation++ },
		"address":     func(voters *Voters) { voters.Seats[1].Address = "10.0.0.3:1" },
		"incarnation": func(voters *Voters) { voters.Seats[1].Incarnation++ },
		"learning":    func(voters *Voters) { voters.Seats[0].Learning = true },
		"fewer":       func(voters *Voters) { voters.Seats = voters.Seats[:1] },
	}
	// Each change is made in place, in the array that was marked before.
	for _, name := range []string{"generation", "address", "incarnation", "learning", "fewer"} {
		before := voters.Mark()
		changes[name](&voters)
		if after := voters.Mark(); after == before || after != voters.sum() {
			t.Errorf("%s: %d, then %d; the sum is %d", name, before, after, voters.sum())
		}
	}
}
