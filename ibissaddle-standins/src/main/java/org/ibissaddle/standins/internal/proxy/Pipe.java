package org.ibissaddle.standins.internal.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * One direction of a connection: carries bytes in order, after the delay and at the bandwidth of the link. While the
 * direction is cut it neither reads nor delivers; what waits then arrives once the link is healed, as retransmitted
 * segments would.
 */
@SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, which ends the connection
final class Pipe {
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;

    /** Limits and counts what one connection receives. */
    interface Meter {
        /** Returns how many of some bytes may be delivered. */
        int allow(int bytes);

        /** Bytes were handed to the network. */
        void delivered(int bytes);
    }

    private final Channel source;
    private final Channel sink;
    private final Wire wire;
    private final Meter meter;
    private final Deque<Item> waiting = new ArrayDeque<>();
    private Optional<Channel> copy = Optional.empty();
    private int bufferedBytes;
    private boolean scheduled;
    private boolean sourceClosed;

    Pipe(Channel source, Channel sink, Wire wire, Meter meter) {
        this.source = source;
        this.sink = sink;
        this.wire = wire;
        this.meter = meter;
    }

    /** Delivers all bytes to a second channel as well. */
    void copyTo(Channel channel) {
        copy = Optional.of(channel);
    }

    /** Takes bytes from the source. */
    void accept(ByteBuf bytes) {
        int size = bytes.readableBytes();
        bufferedBytes += size;
        waiting.addLast(new Item(bytes, wire.deliveryTime(size)));
        resume();
    }

    /** The source has closed: the sink closes behind the last byte. */
    void sourceClosed() {
        sourceClosed = true;
        closeSinkWhenDrained();
    }

    /** Goes on after a change of faults, or once the sink has room. */
    void resume() {
        regulate();
        schedule();
        closeSinkWhenDrained();
    }

    /** Throws away what has not been delivered. */
    void release() {
        waiting.forEach(item -> ReferenceCountUtil.release(item.bytes()));
        waiting.clear();
        bufferedBytes = 0;
    }

    private void regulate() {
        source.config().setAutoRead(!wire.isCut() && bufferedBytes < MAX_BUFFERED_BYTES && sink.isWritable());
    }

    private void schedule() {
        if (scheduled || waiting.isEmpty() || wire.isCut()) {
            return;
        }
        scheduled = true;
        long delayNanos = waiting.getFirst().dueNanos() - System.nanoTime();
        sink.eventLoop().schedule(this::deliverDue, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void deliverDue() {
        scheduled = false;
        long now = System.nanoTime();
        while (!wire.isCut() && !waiting.isEmpty() && waiting.getFirst().dueNanos() - now <= 0) {
            deliver(waiting.removeFirst().bytes());
        }
        resume();
    }

    private void deliver(ByteBuf bytes) {
        int size = bytes.readableBytes();
        int allowed = meter.allow(size);
        bufferedBytes -= size;
        bytes.writerIndex(bytes.readerIndex() + allowed);
        copy.ifPresent(channel -> channel.writeAndFlush(bytes.copy()));
        sink.writeAndFlush(bytes).addListener(written -> meter.delivered(allowed));
    }

    private void closeSinkWhenDrained() {
        if (sourceClosed && waiting.isEmpty() && !wire.isCut()) {
            sink.close();
            copy.ifPresent(Channel::close);
        }
    }

    private record Item(ByteBuf bytes, long dueNanos) {}
}
