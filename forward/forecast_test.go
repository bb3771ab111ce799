package forward

import (
	"reflect"
	"testing"
	"time"

	"sapphiretray/gateway"
)

// TestForecast guards against figures that are lost or changed between two instances, and against odd text that is taken for some.
func TestForecast(t *testing.T) {
	tests := []struct {
		name string
		load gateway.Load
		text string
	}{
		{name: "nothing known", text: "//"},
		{
			name: "all known",
			load: gateway.Load{
				ServiceTime: 220 * time.Millisecond, Slowness: 3, StartRate: 4.7,
				Waits: []time.Duration{0, 30 * time.Millisecond, time.Second}, Room: []float64{1.5, 0.25},
			},
			text: "220/300/47//30/1000;150;25",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if text := encodeForecast(test.load); text != test.text {
				t.Errorf("encoded as %q, want %q", text, test.text)
			}
			var load gateway.Load
			if err := decodeForecast(test.text, &load); err != nil || !reflect.DeepEqual(load, test.load) {
				t.Errorf("decoded as %+v, %v, want %+v", load, err, test.load)
			}
		})
	}
	for _, text := range []string{"1", "1/2", "-1//", "1/x/", "1/100/9999999999999", "1/////////////////"} {
		if err := decodeForecast(text, &gateway.Load{}); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}
