package faulttest

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tallyproxy/internal/fakes"
)

// relay receives the packets and streams for one process and forwards them according to the state
// of their links.
type relay struct {
	network  *Network
	receiver int    // number of the process
	target   string // address on which the process listens
	udp      *net.UDPConn
	tcp      net.Listener

	delayed         atomic.Int64 // packets being delayed
	packets, octets atomic.Int64 // received by the process
}

// listen opens a UDP and a TCP socket at the same free address.
func (r *relay) listen() (err error) {
	// The port that FreeAddress found may have been taken in the meantime.
	for attempt := 0; attempt < listenAttempts && (attempt == 0 || err != nil); attempt++ {
		var address string
		if address, err = FreeAddress(); err == nil {
			r.tcp, err = net.Listen("tcp4", address)
		}
	}
	if err != nil {
		return err
	}
	address, err := net.ResolveUDPAddr("udp4", r.tcp.Addr().String())
	if err == nil {
		r.udp, err = net.ListenUDP("udp4", address)
	}
	if err != nil {
		closeQuietly(r.tcp)
	}
	return err
}

// forwardPackets forwards packets until the network is closed.
func (r *relay) forwardPackets() {
	target, err := net.ResolveUDPAddr("udp4", r.target)
	if err != nil {
		return
	}
	for buffer := make([]byte, packetBufferBytes); ; {
		size, from, err := r.udp.ReadFromUDP(buffer)
		if err != nil {
			if r.network.ctx.Err() != nil {
				return
			}
			continue // the process was not listening when an earlier packet arrived
		}
		delays, _ := r.network.transmit(hostOf(from.String()), r.receiver)
		for _, delay := range delays {
			r.packets.Add(1)
			r.octets.Add(int64(size))
			r.forwardPacket(buffer[:size], target, delay)
		}
	}
}

// forwardPacket sends a packet after a delay. A packet that can't be sent is dropped.
func (r *relay) forwardPacket(packet []byte, target *net.UDPAddr, delay time.Duration) {
	if delay == 0 {
		_, _ = r.udp.WriteToUDP(packet, target)
		return
	}
	if r.delayed.Add(1) > maxDelayedPackets {
		r.delayed.Add(-1)
		return
	}
	packet = append([]byte(nil), packet...) // the buffer is reused for the next packet
	time.AfterFunc(delay, func() {
		defer r.delayed.Add(-1)
		if r.network.ctx.Err() == nil {
			_, _ = r.udp.WriteToUDP(packet, target)
		}
	})
}

// acceptStreams forwards connections until the network is closed.
func (r *relay) acceptStreams() {
	for {
		in, err := r.tcp.Accept()
		if err != nil {
			return
		}
		r.network.goroutines.Go(func() { r.forwardStream(in) })
	}
}

// forwardStream forwards a connection in both directions until both have ended. Bytes in a
// direction that is cut are held back, as TCP would retransmit them.
func (r *relay) forwardStream(in net.Conn) {
	defer closeQuietly(in)
	senderHost := hostOf(in.RemoteAddr().String())
	sender, known := r.network.indexAt(senderHost)
	if !known || !r.awaitLink(senderHost, r.receiver) {
		return
	}
	out, err := net.DialTimeout("tcp4", r.target, time.Second)
	if err != nil {
		return
	}
	defer closeQuietly(out)
	stop := context.AfterFunc(r.network.ctx, func() {
		closeQuietly(in)
		closeQuietly(out)
	})
	defer stop()
	var bothWays sync.WaitGroup
	bothWays.Go(func() { r.copyStream(out, in, senderHost, r.receiver, &r.octets) })
	bothWays.Go(func() { // answers of the process do not count as received
		r.copyStream(in, out, hostOf(r.target), sender, new(atomic.Int64))
	})
	bothWays.Wait()
}

// copyStream copies one direction of a connection until it ends, counts the bytes, and then closes
// that direction.
func (r *relay) copyStream(to, from net.Conn, senderHost string, receiver int, octets *atomic.Int64) {
	defer func() { _ = to.(*net.TCPConn).CloseWrite() }() // the connection may already be closed
	for buffer := make([]byte, streamBufferBytes); ; {
		size, err := from.Read(buffer)
		if size > 0 {
			if !r.awaitLink(senderHost, receiver) {
				return
			}
			octets.Add(int64(size))
			if _, err := to.Write(buffer[:size]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitLink delays bytes of a stream according to the state of their link. It returns false when
// the network is closed.
func (r *relay) awaitLink(senderHost string, receiver int) bool {
	ctx := r.network.ctx
	for ctx.Err() == nil {
		delays, cut := r.network.transmit(senderHost, receiver)
		switch {
		case cut:
			if !fakes.Sleep(ctx, cutPollInterval) {
				return false
			}
			continue
		case len(delays) == 0:
			return fakes.Sleep(ctx, retransmitDelay)
		}
		return delays[0] == 0 || fakes.Sleep(ctx, delays[0])
	}
	return false
}
