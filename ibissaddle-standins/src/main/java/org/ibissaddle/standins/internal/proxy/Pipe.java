package org.ibissaddle.standins.internal.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Forwards the bytes of one direction of a connection in order, with the delay and the bandwidth limit of the link.
 * While the direction is cut, it neither reads nor delivers. Buffered bytes are delivered once the cut is removed, like
 * TCP segments that are retransmitted after a network partition.
 */
@SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, which closes the connection
final class Pipe {
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;

    /** Limits and counts the bytes that one connection receives. */
    interface DeliveryLimiter {
        /** Returns how many of the next {@code bytes} bytes may be delivered. */
        int allow(int bytes);

        /** Called when a write of bytes to the sink has completed. */
        void delivered(int bytes);
    }

    private final Channel source;
    private final Channel sink;
    private final LinkDirection direction;
    private final DeliveryLimiter limiter;
    private final Deque<BufferedChunk> buffered = new ArrayDeque<>();
    private Optional<Channel> duplicateSink = Optional.empty();
    private int bufferedBytes;
    private boolean deliveryScheduled;
    private boolean sourceClosed;

    Pipe(Channel source, Channel sink, LinkDirection direction, DeliveryLimiter limiter) {
        this.source = source;
        this.sink = sink;
        this.direction = direction;
        this.limiter = limiter;
    }

    /** Delivers all bytes to a second channel as well. */
    void setDuplicateSink(Channel channel) {
        duplicateSink = Optional.of(channel);
    }

    /** Buffers bytes read from the source until they are due. */
    void accept(ByteBuf bytes) {
        int size = bytes.readableBytes();
        bufferedBytes += size;
        buffered.addLast(new BufferedChunk(bytes, direction.deliveryTimeNanos(size)));
        resume();
    }

    /** Called when the source has closed; closes the sink after the last buffered byte. */
    void sourceClosed() {
        sourceClosed = true;
        closeSinkWhenDrained();
    }

    /** Reevaluates reading and delivery after a change of faults or of the writability of the sink. */
    void resume() {
        updateAutoRead();
        scheduleDelivery();
        closeSinkWhenDrained();
    }

    /** Discards and releases the buffered bytes. */
    void release() {
        buffered.forEach(chunk -> ReferenceCountUtil.release(chunk.bytes()));
        buffered.clear();
        bufferedBytes = 0;
    }

    private void updateAutoRead() {
        source.config().setAutoRead(!direction.isCut() && bufferedBytes < MAX_BUFFERED_BYTES && sink.isWritable());
    }

    private void scheduleDelivery() {
        if (deliveryScheduled || buffered.isEmpty() || direction.isCut()) {
            return;
        }
        deliveryScheduled = true;
        long delayNanos = buffered.getFirst().dueNanos() - System.nanoTime();
        sink.eventLoop().schedule(this::deliverDue, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void deliverDue() {
        deliveryScheduled = false;
        long now = System.nanoTime();
        while (!direction.isCut() && !buffered.isEmpty() && buffered.getFirst().dueNanos() - now <= 0) {
            deliver(buffered.removeFirst().bytes());
        }
        resume();
    }

    private void deliver(ByteBuf bytes) {
        int size = bytes.readableBytes();
        int allowed = limiter.allow(size);
        bufferedBytes -= size;
        bytes.writerIndex(bytes.readerIndex() + allowed);
        duplicateSink.ifPresent(channel -> channel.writeAndFlush(bytes.copy()));
        sink.writeAndFlush(bytes).addListener(written -> limiter.delivered(allowed));
    }

    private void closeSinkWhenDrained() {
        if (sourceClosed && buffered.isEmpty() && !direction.isCut()) {
            sink.close();
            duplicateSink.ifPresent(Channel::close);
        }
    }

    private record BufferedChunk(ByteBuf bytes, long dueNanos) {}
}
