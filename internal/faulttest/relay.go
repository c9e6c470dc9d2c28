package faulttest

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tallyproxy/internal/fakes"
)

// relay is what others reach a process at: it passes on packets and streams as their links say.
type relay struct {
	network  *Network
	receiver int    // the process's number
	target   string // the process's own address
	udp      *net.UDPConn
	tcp      net.Listener

	delayed         atomic.Int64 // packets that are delayed
	packets, octets atomic.Int64 // that came to the process
}

// listen opens both sockets at one free address.
func (r *relay) listen() (err error) {
	for attempt := 0; attempt < listenAttempts && (attempt == 0 || err != nil); attempt++ { // the port may have been taken since it was free
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

// carryPackets passes packets on until the network is closed.
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
			continue // the process was not there for the packet before
		}
		delays, _ := r.network.transmit(hostOf(from.String()), r.receiver)
		for _, delay := range delays {
			r.packets.Add(1)
			r.octets.Add(int64(size))
			r.forwardPacket(buffer[:size], target, delay)
		}
	}
}

// passPacket sends a packet after a delay. One that can't be sent is lost, as packets may be.
func (r *relay) forwardPacket(packet []byte, target *net.UDPAddr, delay time.Duration) {
	if delay == 0 {
		_, _ = r.udp.WriteToUDP(packet, target)
		return
	}
	if r.delayed.Add(1) > maxDelayedPackets {
		r.delayed.Add(-1)
		return
	}
	packet = append([]byte(nil), packet...) // the buffer takes the next one meanwhile
	time.AfterFunc(delay, func() {
		defer r.delayed.Add(-1)
		if r.network.ctx.Err() == nil {
			_, _ = r.udp.WriteToUDP(packet, target)
		}
	})
}

// acceptStreams passes connections on until the network is closed.
func (r *relay) acceptStreams() {
	for {
		in, err := r.tcp.Accept()
		if err != nil {
			return
		}
		r.network.goroutines.Go(func() { r.forwardStream(in) })
	}
}

// carryStream carries a connection both ways until both have ended. While a way is cut its bytes wait, as they do where packets are lost.
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
	bothWays.Go(func() { // what the process answers is not counted as received
		r.copyStream(in, out, hostOf(r.target), sender, new(atomic.Int64))
	})
	bothWays.Wait()
}

// copyStream copies one way of a connection until it ends, counts its bytes, and then closes that way.
func (r *relay) copyStream(to, from net.Conn, senderHost string, receiver int, octets *atomic.Int64) {
	defer func() { _ = to.(*net.TCPConn).CloseWrite() }() // the other way may have ended the connection
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

// awaitPassage holds bytes of a stream back for as long as their link has them wait; false when the network is closed.
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
