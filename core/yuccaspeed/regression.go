package yuccaspeed

// regression fits a line through the origin to what was seen over what was expected. It holds decaying sums: the weight of
// the pairs, of their products and of the squares of what was expected.
type regression struct {
	weight, products, squares float64
}

// add adds a pair after it has multiplied the weight of the earlier ones by decay.
func (reg *regression) add(expected, seen, decay float64) {
	reg.weight = reg.weight*decay + 1
	reg.products = reg.products*decay + expected*seen
	reg.squares = reg.squares*decay + expected*expected
}

// slope returns the slope of the line, from 0 to 1, if prior is added to the squares of what was
// expected.
func (reg *regression) slope(prior float64) float64 {
	if reg.squares <= 0 {
		return 0
	}
	return min(max(reg.products/(reg.squares+prior), 0), 1)
}
