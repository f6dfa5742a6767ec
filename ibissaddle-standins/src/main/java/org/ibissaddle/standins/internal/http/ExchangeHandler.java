package org.ibissaddle.standins.internal.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Turns the requests of one connection into exchanges, one at a time. */
@SuppressWarnings("FutureReturnValueIgnored") // the result of a close does not matter
public final class ExchangeHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Consumer<Exchange> target;
    private final LongSupplier idleLimitMs;
    private final Deque<Exchange> waiting = new ArrayDeque<>();
    private Optional<Exchange> current = Optional.empty();
    private Optional<Future<?>> idleClose = Optional.empty();

    /**
     * Creates the handler of one connection.
     *
     * @param idleLimitMs after how many idle milliseconds the connection closes; 0 for never
     */
    public ExchangeHandler(Consumer<Exchange> target, LongSupplier idleLimitMs) {
        this.target = target;
        this.idleLimitMs = idleLimitMs;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        idleClose.ifPresent(timer -> timer.cancel(false));
        waiting.addLast(new Exchange(ctx.channel(), request, () -> finished(ctx)));
        dispatchNext();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        current.ifPresent(Exchange::closed);
        current = Optional.empty();
        waiting.clear();
        ctx.fireChannelInactive();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (ctx.channel().isWritable()) {
            current.ifPresent(Exchange::writable);
        }
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    private void finished(ChannelHandlerContext ctx) {
        current = Optional.empty();
        long limitMs = idleLimitMs.getAsLong();
        if (limitMs > 0) {
            idleClose = Optional.of(ctx.executor().schedule(() -> ctx.close(), limitMs, TimeUnit.MILLISECONDS));
        }
        ctx.executor().execute(this::dispatchNext);
    }

    private void dispatchNext() {
        if (current.isPresent() || waiting.isEmpty()) {
            return;
        }
        Exchange next = waiting.removeFirst();
        current = Optional.of(next);
        target.accept(next);
    }
}
