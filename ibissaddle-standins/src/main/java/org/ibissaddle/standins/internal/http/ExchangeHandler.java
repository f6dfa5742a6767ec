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

/** Dispatches the requests of one connection sequentially; pipelined requests are queued. */
@SuppressWarnings("FutureReturnValueIgnored") // close is best effort; its result is not needed
public final class ExchangeHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Consumer<HttpExchange> dispatcher;
    private final LongSupplier idleTimeoutMs;
    private final Deque<HttpExchange> queued = new ArrayDeque<>();
    private Optional<HttpExchange> current = Optional.empty();
    private Optional<Future<?>> idleTimer = Optional.empty();

    /**
     * Creates a handler for one connection.
     *
     * @param idleTimeoutMs the idle timeout of the connection in milliseconds; 0 disables it
     */
    public ExchangeHandler(Consumer<HttpExchange> dispatcher, LongSupplier idleTimeoutMs) {
        this.dispatcher = dispatcher;
        this.idleTimeoutMs = idleTimeoutMs;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        idleTimer.ifPresent(timer -> timer.cancel(false));
        queued.addLast(new HttpExchange(ctx.channel(), request, () -> onExchangeFinished(ctx)));
        dispatchNext();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        current.ifPresent(HttpExchange::onConnectionClosed);
        current = Optional.empty();
        queued.clear();
        ctx.fireChannelInactive();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (ctx.channel().isWritable()) {
            current.ifPresent(HttpExchange::onConnectionWritable);
        }
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    private void onExchangeFinished(ChannelHandlerContext ctx) {
        current = Optional.empty();
        long timeoutMs = idleTimeoutMs.getAsLong();
        if (timeoutMs > 0) {
            idleTimer = Optional.of(ctx.executor().schedule(() -> ctx.close(), timeoutMs, TimeUnit.MILLISECONDS));
        }
        ctx.executor().execute(this::dispatchNext);
    }

    private void dispatchNext() {
        if (current.isPresent() || queued.isEmpty()) {
            return;
        }
        HttpExchange nextExchange = queued.removeFirst();
        current = Optional.of(nextExchange);
        dispatcher.accept(nextExchange);
    }
}
