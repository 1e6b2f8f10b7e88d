package ledger

// attemptWindowSize is the number of attempt numbers, up to the highest used one of an incarnation, for which an
// attemptWindow records whether they were used.
const attemptWindowSize = 1024

// attemptWindow records which attempt numbers an incarnation has used. Numbers that are attemptWindowSize or more
// below the highest one count as used, so the memory is bounded and no number is accepted twice.
type attemptWindow struct {
	highest uint64
	// used is a bitmap of the attemptWindowSize numbers up to highest, indexed by number modulo its size.
	used [attemptWindowSize / 64]uint64
}

// contains reports whether a number was used or lies below the window.
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

// advanceTo moves the window up so that it ends at a higher number, and clears the bits of the numbers that it gains.
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
