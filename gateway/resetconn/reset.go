package resetconn

import "net"

// Reset closes a connection with a reset of the TCP connection below its wrappers, which have the method NetConn like tls.Conn. A
// peer then does not take the end of the stream for proper. Without a TCP connection below, it only closes the connection.
func Reset(conn net.Conn) {
	resetLowest(conn)
	_ = conn.Close() // the wrappers release what they hold; the connection may be closed already
}

func resetLowest(conn net.Conn) {
	for {
		switch c := conn.(type) {
		case *net.TCPConn:
			_ = c.SetLinger(0) // fails only on a closed connection
			_ = c.Close()
			return
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return
		}
	}
}
