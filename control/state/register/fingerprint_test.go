package register

import "testing"

// TestFingerprint_changesWithEachMember guards against a stale cached fingerprint:
// each change is made in place, in the array that was fingerprinted before.
func TestFingerprint_changesWithEachMember(t *testing.T) {
	voters := VoterSet{Generation: 3, Members: []Member{{Address: "10.0.0.1:1", Incarnation: 5}, {Address: "10.0.0.2:1", Incarnation: 6}}}
	first := voters.Fingerprint()
	if again := voters.Fingerprint(); again != first || first != voters.computeFingerprint() {
		t.Fatalf("fingerprint %d, then %d; computed %d", first, again, voters.computeFingerprint())
	}
	changes := map[string]func(*VoterSet){
		"generation":  func(voters *VoterSet) { voters.Generation++ },
		"address":     func(voters *VoterSet) { voters.Members[1].Address = "10.0.0.3:1" },
		"incarnation": func(voters *VoterSet) { voters.Members[1].Incarnation++ },
		"learning":    func(voters *VoterSet) { voters.Members[0].Learner = true },
		"fewer":       func(voters *VoterSet) { voters.Members = voters.Members[:1] },
	}
	for _, name := range []string{"generation", "address", "incarnation", "learning", "fewer"} {
		before := voters.Fingerprint()
		changes[name](&voters)
		if after := voters.Fingerprint(); after == before || after != voters.computeFingerprint() {
			t.Errorf("%s: fingerprint %d before the change, %d after it; computed %d", name, before, after, voters.computeFingerprint())
		}
	}
}
