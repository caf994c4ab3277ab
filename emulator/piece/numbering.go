package piece

import "fmt"

// numberings are the ways in which runners number the events of a stream, counted from 1.
// In each the ids rise. An attempt's numbering does not depend on the run.
var numberings = []func(attempt string, number int) string{
	func(_ string, number int) string { return fmt.Sprint(number) },
	func(_ string, number int) string { return fmt.Sprint(tokensPerEvent * number) },
	func(_ string, number int) string { return fmt.Sprint(firstOffset + number) },
	func(attempt string, number int) string { return fmt.Sprint(irregularID(attempt, number)) },
	// Beyond 64 bits.
	func(_ string, number int) string { return fmt.Sprintf("%d%020d", number, 0) },
}

const (
	// tokensPerEvent is the step of ids that count tokens.
	tokensPerEvent = 7
	// firstOffset is the number before the first id of a numbering that begins late.
	firstOffset = 4999
	// maxIrregularStep is the largest step of an irregular numbering.
	maxIrregularStep = 12
)

// EventID returns the id of an event of an attempt's stream.
func EventID(attempt string, number int) string {
	return numberings[Hash(attempt, "numbering")%uint64(len(numberings))](attempt, number)
}

// EventNumber returns the number of the event with an id, or 0 if there is none.
func EventNumber(attempt string, id string) int {
	for number := 1; number <= LineCount(attempt); number++ {
		if EventID(attempt, number) == id {
			return number
		}
	}
	return 0
}

// irregularID returns the id of an event where each step has its own size.
func irregularID(attempt string, number int) int {
	id := 0
	for event := 1; event <= number; event++ {
		id += 1 + int(Hash(attempt, "step", fmt.Sprint(event))%maxIrregularStep)
	}
	return id
}
