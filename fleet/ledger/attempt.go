package ledger

// attemptWindowSize is how far an attempt's number may lie below the highest one of its incarnation.
const attemptWindowSize = 1024

// attemptWindow remembers which of an incarnation's attempt numbers were used. Numbers far below the
// highest one count as used.
type attemptWindow struct {
	highest uint64
	// used holds a bit for each of the attemptWindowSize numbers up to highest.
	used [attemptWindowSize / 64]uint64
}

// contains reports whether a number was used or is too low to tell.
func (w *attemptWindow) contains(number uint64) bool {
	if number > w.highest {
		return false
	}
	if w.highest-number >= attemptWindowSize {
		return true
	}
	return w.used[number/64%uint64(len(w.used))]&(1<<(number%64)) != 0
}

// add marks a number as used.
func (w *attemptWindow) add(number uint64) {
	if number > w.highest {
		w.advanceTo(number)
	}
	w.used[number/64%uint64(len(w.used))] |= 1 << (number % 64)
}

// advanceTo clears the bits of the numbers above the former highest one.
func (w *attemptWindow) advanceTo(number uint64) {
	if number-w.highest >= attemptWindowSize {
		w.used = [attemptWindowSize / 64]uint64{}
	} else {
		for n := w.highest + 1; n <= number; n++ {
			w.used[n/64%uint64(len(w.used))] &^= 1 << (n % 64)
		}
	}
	w.highest = number
}
