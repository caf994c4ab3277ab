package lease

import (
	"testing"

	"onyxwell/base/clock"
)

// newReadyLessor returns a lessor whose initial TTL without grants is over, its
// clock, and the fingerprint of its voter set.
func newReadyLessor() (*Lessor, *clock.Fake, *int64) {
	fake, fingerprint := clock.NewFake(), int64(1)
	lessor := NewLessor(fake, testTTL, func() (bool, int64) { return true, fingerprint })
	fake.Advance(testTTL)
	return lessor, fake, &fingerprint
}

func testRequest(sequence int64) Request {
	return Request{Name: "plan", Holder: "a", Incarnation: 7, Sequence: sequence, VotersFingerprint: 1}
}

func otherRequest(sequence int64) Request {
	return Request{Name: "plan", Holder: "b", Incarnation: 8, Sequence: sequence, VotersFingerprint: 1}
}

func asRelease(req Request) Request { req.Release = true; return req }

func asRenewal(req Request) Request { req.Renew = true; return req }

// TestLessor_staleReleaseRevokesNothing delivers a release after a later grant to
// the same holder, and one of an older incarnation: the grant must remain.
func TestLessor_staleReleaseRevokesNothing(t *testing.T) {
	lessor, _, _ := newReadyLessor()
	lessor.Grant(testRequest(1))
	lessor.Grant(asRelease(testRequest(1)))
	if !lessor.Grant(testRequest(2)).Granted {
		t.Fatal("not granted after the release of the previous grant")
	}
	lessor.Grant(asRelease(testRequest(1)))
	oldIncarnation := asRelease(testRequest(9))
	oldIncarnation.Incarnation = 6
	lessor.Grant(oldIncarnation)
	if lessor.Grant(otherRequest(1)).Granted {
		t.Fatal("a late release or one of an older incarnation revoked a grant")
	}
	lessor.Grant(asRelease(testRequest(2)))
	if !lessor.Grant(otherRequest(2)).Granted {
		t.Fatal("the release of the current grant did not revoke it")
	}
}

// TestLessor_staleRequestIsNotGranted delivers a request after its release, a
// request twice, and a renewal while another daemon holds the lease: none may be
// granted.
func TestLessor_staleRequestIsNotGranted(t *testing.T) {
	lessor, fake, _ := newReadyLessor()
	lessor.Grant(asRelease(testRequest(3)))
	if lessor.Grant(testRequest(3)).Granted || lessor.Grant(testRequest(2)).Granted {
		t.Fatal("a request was granted after its release")
	}
	if !lessor.Grant(testRequest(4)).Granted || !lessor.Grant(asRenewal(testRequest(5))).Granted {
		t.Fatal("a request or its renewal was refused though both arrived in order")
	}
	fake.Advance(testTTL)
	if lessor.Grant(asRenewal(testRequest(5))).Granted {
		t.Fatal("a duplicate request was granted")
	}
	renewal := asRenewal(testRequest(6))
	if lessor.Grant(otherRequest(1)); lessor.Grant(renewal).Granted {
		t.Fatal("renewed while another daemon holds the lease")
	}
}

// TestLessor_refusesRequestUnderOtherVoters sends a request under an older voter
// set to a voter that knows a newer one. After its voter set has changed, a voter
// may renew leases but must make no new grant for one TTL.
func TestLessor_refusesRequestUnderOtherVoters(t *testing.T) {
	lessor, fake, fingerprint := newReadyLessor()
	lessor.Grant(testRequest(1))
	*fingerprint = 2
	if resp := lessor.Grant(asRenewal(testRequest(2))); resp.Granted || !resp.VotersMismatch {
		t.Fatal("renewed under the old voter set")
	}
	renewal := asRenewal(testRequest(3))
	renewal.VotersFingerprint = 2
	if !lessor.Grant(renewal).Granted {
		t.Fatal("not renewed under the new voter set")
	}
	newRequest := Request{Name: "census", Holder: "b", Incarnation: 8, Sequence: 1, VotersFingerprint: 2}
	if lessor.Grant(newRequest).Granted {
		t.Fatal("granted right after the voter set changed")
	}
	fake.Advance(testTTL)
	newRequest.Sequence = 2
	if !lessor.Grant(newRequest).Granted {
		t.Fatal("not granted one TTL after the voter set changed")
	}
}
