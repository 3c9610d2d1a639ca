package traffic

import (
	"encoding/json"
	"io"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAccount(t *testing.T) {
	Convey("Given an account", t, func() {
		a := &Account{}
		a.Add(Holds, 200, 300)
		a.Add(Holds, 100, 50)
		a.AddAnswer("Assist.Deliver", 7, 0)

		Convey("it counts calls and bytes by kind", func() {
			So(a.Snapshot(), ShouldResemble, map[Kind]Usage{
				Holds:            {Calls: 2, Out: 300, In: 350},
				"Assist.Deliver": {Out: 7},
			})
		})
		Convey("the usage since a snapshot contains what was added after it", func() {
			before := a.Snapshot()
			a.Add(Starts, 500, 10)
			changed, total := a.Since(before)
			So(changed, ShouldResemble, map[Kind]Usage{Starts: {Calls: 1, Out: 500, In: 10}})
			So(total, ShouldResemble, Usage{Calls: 1, Out: 500, In: 10})
		})
		Convey("a formatted line starts with the largest kind", func() {
			So(FormatLine(a.Snapshot()), ShouldEqual, "executor_hold:2:300:350 Assist.Deliver:0:7:0")
		})
		Convey("its string is JSON", func() {
			var read map[Kind]Usage
			So(json.Unmarshal([]byte(a.String()), &read), ShouldBeNil)
			So(read, ShouldResemble, a.Snapshot())
		})
		Convey("the connections of a listener are counted as one kind", func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			counted := a.Listener(l, Clients)
			done := make(chan error, 1)
			go func() {
				conn, err := counted.Accept()
				if err == nil {
					_, err = conn.Write([]byte("hello"))
					closeErr := conn.(interface{ CloseWrite() error }).CloseWrite()
					if err == nil {
						err = closeErr
					}
				}
				done <- err
			}()
			conn, err := net.Dial("tcp", l.Addr().String())
			So(err, ShouldBeNil)
			text, err := io.ReadAll(conn)
			So(err, ShouldBeNil)
			So(string(text), ShouldEqual, "hello")
			So(<-done, ShouldBeNil)
			So(a.Snapshot()[Clients], ShouldResemble, Usage{Calls: 1, Out: 5})
		})
	})
	Convey("A nil account counts nothing", t, func() {
		var a *Account
		a.Add(Holds, 1, 1)
		a.AddAnswer(Holds, 1, 1)
		So(a.Snapshot(), ShouldBeEmpty)
	})
}
