// Command logstandin runs a stand-in for the platform's log, for tests and demos.
// It keeps records only in memory.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"hyssopbridge/platformlog/standin"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:7000", "IP:port to listen on")
	flag.Parse()
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, "logstandin:", err)
		os.Exit(1)
	}
	fmt.Println("log stand-in at http://" + l.Addr().String())
	server := &http.Server{Handler: standin.New(time.Now), ReadHeaderTimeout: 5 * time.Second}
	if err := server.Serve(l); err != nil {
		fmt.Fprintln(os.Stderr, "logstandin:", err)
		os.Exit(1)
	}
}
