package yuccaplot_test

import (
	"bytes"
	"encoding/xml"
	"math"
	"testing"

	"yuccacleat/core/yuccaplot"
)

func TestChartsNameTheirLines(t *testing.T) {
	chart := yuccaplot.Chart{Title: "worth", Load: "load", Lines: []yuccaplot.Line{
		{Name: "first", Points: []yuccaplot.Point{{0.5, 0.9}, {2, 0.3}}},
		{Name: "second", Points: []yuccaplot.Point{{0.5, 0.9}, {2, 0.7}}},
	}}
	for _, aside := range []float64{0, 3} {
		chart.Aside = aside
		svg, err := chart.SVG()
		if err != nil {
			t.Fatal(err)
		}
		if err := xml.Unmarshal(svg, new(struct{})); err != nil {
			t.Error(err)
		}
		for _, name := range []string{"worth", "load", "first", "second"} {
			if !bytes.Contains(svg, []byte(name)) {
				t.Errorf("%s isn't shown", name)
			}
		}
	}
}

func TestChartsRefuseWhatIsNoFigure(t *testing.T) {
	chart := yuccaplot.Chart{Lines: []yuccaplot.Line{{Name: "first", Points: []yuccaplot.Point{{1, math.NaN()}}}}}
	if _, err := chart.SVG(); err == nil {
		t.Error("drew a figure that is none")
	}
}
