package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Figures of the rollouts.
const (
	badVersion = "v2"
	// rolloutTerm is the term of an order, as in the example of the page.
	rolloutTerm = 12 * time.Second
	// rolloutWork is how long a runner works on a request.
	rolloutWork = 20 * time.Millisecond
	// drainDelay is how long after "reverted" the runners of that version drain.
	drainDelay = 4 * time.Second
	badShare   = 0.1
	badSlack   = 50
	badAnswers = 50
	// rollbackTime is how long after its badAnswers-th bad answer a version may get requests.
	rollbackTime = 5 * time.Second
)

// runRollout checks EXPOSURE: the operator orders a bad version and, after that has been
// reverted, the next one.
func runRollout(c *cluster) error {
	o := newOperator(c.record, c.controlAddresses())
	if err := c.configure(o); err != nil {
		return err
	}
	var stops []func()
	for range 4 {
		stops = append(stops, c.startClients(10*time.Millisecond))
	}
	stopClients := func() {
		for _, stop := range stops {
			stop()
		}
	}
	defer stopClients()
	time.Sleep(5 * time.Second)
	ordered := time.Now()
	condition, err := c.rollOut(o, badVersion)
	if err != nil {
		return err
	}
	if condition == "reverted" {
		time.AfterFunc(drainDelay, func() { c.setCondition(badVersion, "draining") })
		time.AfterFunc(drainDelay+6*time.Second, func() { c.setCondition(badVersion, "") })
	} else {
		c.setCondition("v1", "")
	}
	time.Sleep(500 * time.Millisecond)
	if _, err := c.rollOut(o, "v3"); err != nil {
		return err
	}
	time.Sleep(max(0, time.Until(ordered.Add(rolloutTerm+2*time.Second))))
	stopClients()
	return c.checkExposure(ordered)
}

// rollOut starts runners of a version, orders it and waits for the end of the rollout.
func (c *cluster) rollOut(o *operator, version string) (condition string, err error) {
	for zone := range zones {
		for number := range 2 {
			if err := c.startRunner(zone, fmt.Sprintf("i-%s-%d-%d", version, zone, number), version); err != nil {
				return "", err
			}
		}
	}
	order := fmt.Sprintf(`{"service":%q,"target_version":%q,"over_s":%g}`, c.service(), version, rolloutTerm.Seconds())
	if err := o.call(0, http.MethodPost, "/rollouts", order); err != nil {
		return "", err
	}
	for deadline := time.Now().Add(3 * rolloutTerm); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		condition = c.rolloutCondition(version)
		if condition == "finished" || condition == "reverted" {
			c.printf("rollout of %s: %s", version, condition)
			return condition, nil
		}
	}
	return "", fmt.Errorf("the rollout of %s came to no end", version)
}

// rolloutCondition returns the condition of the rollout of a version, "" if it is not known.
func (c *cluster) rolloutCondition(version string) string {
	client := &http.Client{Timeout: patience}
	for zone := range zones {
		resp, err := client.Get("http://" + c.control(zone) + "/rollouts/" + c.service())
		if err != nil {
			continue
		}
		var answer struct {
			Condition string `json:"condition"`
			Target    string `json:"target_version"`
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil && json.Unmarshal(body, &answer) == nil && answer.Target == version {
			return answer.Condition
		}
	}
	return ""
}

// checkExposure compares what the bad version got with what it may get.
func (c *cluster) checkExposure(ordered time.Time) error {
	all, exposed, bad, late := 0, 0, 0, 0
	var lastBad time.Time
	end := ordered.Add(rolloutTerm)
	versions := map[string]int{}
	seconds := map[int]int{}
	for _, ran := range c.sortedExecutions() {
		versions[ran.version]++
		if ran.at.After(ordered) && ran.at.Before(end) {
			all++
			if ran.version == badVersion {
				exposed++
				seconds[int(ran.at.Sub(ordered).Seconds())]++
			}
		}
		if ran.version != badVersion {
			continue
		}
		if bad >= badAnswers && ran.at.After(lastBad.Add(rollbackTime+rolloutWork+time.Second)) {
			late++
		}
		if ran.failed {
			if bad++; bad == badAnswers {
				lastBad = ran.at
			}
		}
	}
	c.mu.Lock()
	c.printf("clients: requests sent, by the status of the answer: %v", c.answers)
	c.mu.Unlock()
	c.printf("runs by version: %v; of the %d between the order of %s and its term, %d at that version, by second after the order: %v; %d bad answers", versions, all, badVersion, exposed, seconds, bad)
	if !c.trouble {
		return nil
	}
	allowed := badShare*float64(all) + badSlack
	if float64(exposed) > allowed {
		return fmt.Errorf("%w: the bad version got %d requests between its order and its term, %.0f are allowed", errBroken, exposed, allowed)
	}
	if late > 0 {
		return fmt.Errorf("%w: the bad version got %d requests more than %v after its %dth bad answer", errBroken, late, rollbackTime, badAnswers)
	}
	return nil
}
