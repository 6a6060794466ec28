package connection_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrypin.example/router/connection"
)

func ExampleTable_Admit() {
	now := time.Now()
	t := connection.NewTable[string](1)
	fmt.Printf("%T\n", t.Admit("a", now))
	t.Enter("a", connection.Serving, now)
	fmt.Printf("%T\n", t.Admit("b", now))
	t.Enter("a", connection.Idle, now)
	if r, ok := t.Admit("b", now).(connection.Replaces[string]); ok {
		fmt.Println(r.Victim)
	}
	// Output:
	// connection.Admitted
	// connection.Full
	// a
}

// The connection that is closed for a new one. The ages of the others are in milliseconds.
func TestVictim(t *testing.T) {
	type other struct {
		name  string
		phase connection.Phase
		age   int
	}
	tests := map[string]struct {
		others []other
		want   string
	}{
		"a connection that is being closed":                        {[]other{{"idle", connection.Idle, 9000}, {"head", connection.Head, 9000}, {"closing", connection.Closing, 0}}, "closing"},
		"the oldest incomplete head before an idle connection":     {[]other{{"idle", connection.Idle, 9000}, {"old", connection.Head, 2000}, {"head", connection.Head, 1500}}, "old"},
		"a connection without a request before an idle connection": {[]other{{"idle", connection.Idle, 9000}, {"new", connection.New, 1000}}, "new"},
		"the longest idle before a head that has just begun":       {[]other{{"idle", connection.Idle, 90}, {"idler", connection.Idle, 100}, {"head", connection.Head, 999}}, "idler"},
		"a head that has just begun if none is idle":               {[]other{{"serving", connection.Serving, 9000}, {"head", connection.Head, 5}, {"new", connection.New, 4}}, "head"},
		"none that is served":                                      {[]other{{"serving", connection.Serving, 9000}}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			table := connection.NewTable[string](len(tt.others))
			for age := 9000; age >= 0; age-- {
				for _, o := range tt.others {
					if o.age == age {
						at := now.Add(-time.Duration(age) * time.Millisecond)
						table.Force(o.name, at)
						table.Enter(o.name, o.phase, at)
					}
				}
			}
			victim := ""
			switch a := table.Admit("newcomer", now).(type) {
			case connection.Replaces[string]:
				victim = a.Victim
			case connection.Admitted:
				t.Error("admitted beyond the limit")
			case connection.Full:
			}
			is.Equal(victim, tt.want)
			is.Equal(table.Len(), len(tt.others))
		})
	}
}

// Guards against a replaced connection that is added again by a late change of its phase.
func TestReplacedConnectionStaysOut(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := connection.NewTable[string](1)
	table.Admit("a", now)
	table.Admit("b", now)
	table.Enter("a", connection.Serving, now)
	is.Equal(table.Len(), 1)
	table.Remove("b")
	is.Equal(table.Len(), 0)
}

func TestOverdue(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := connection.NewTable[string](9)
	for n, name := range []string{"a", "b", "c"} {
		table.Force(name, now.Add(time.Duration(n)*time.Second))
		table.Enter(name, connection.Idle, now.Add(time.Duration(n)*time.Second))
	}
	is.Equal(table.Overdue(connection.Idle, time.Second, now.Add(3*time.Second)), []string{"a", "b"})
	is.Equal(len(table.Overdue(connection.Head, time.Second, now.Add(time.Hour))), 0)
}
