package org.cuminshelf.network;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.cuminshelf.core.Address;
import org.cuminshelf.message.Envelope;
import org.tinylog.Logger;

/** The sending side of a connection to one other process. */
final class OutboundConnection {

    private static final String LOG = "network: ";
    private static final int MOST_WAITING = 10_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final TcpNetwork network;
    private final Address to;
    private final Deque<Envelope> waiting = new ArrayDeque<>();
    private Channel channel;
    private boolean connecting;
    private long connectedAt;
    private volatile long echoAt;
    private long usedAt = System.nanoTime();
    private ScheduledFuture<?> heartbeat;

    OutboundConnection(TcpNetwork network, Address to) {
        this.network = network;
        this.to = to;
    }

    Address to() {
        return to;
    }

    synchronized void send(Envelope message, boolean fresh) {
        usedAt = System.nanoTime();
        if (fresh && channel != null && !showedLife(usedAt)) {
            Logger.debug(LOG + "A connection to {} showed no life; a new one is opened.", to);
            drop();
        }
        if (channel != null && channel.isActive()) {
            channel.writeAndFlush(message, channel.voidPromise());
            return;
        }
        if (waiting.size() >= MOST_WAITING) {
            waiting.poll();
        }
        waiting.add(message);
        connect();
    }

    synchronized void close() {
        drop();
        waiting.clear();
    }

    ChannelHandler echoes() {
        return new SimpleChannelInboundHandler<Envelope>() {
            @Override
            protected void channelRead0(ChannelHandlerContext context, Envelope message) {
                echoAt = System.nanoTime();
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) {
                onInactive(context.channel());
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                Logger.debug(LOG + "The connection to {} ends: {}.", to, cause.getMessage());
                context.close();
            }
        };
    }

    private boolean showedLife(long now) {
        long since = now - Math.max(echoAt, connectedAt);
        return since <= TcpNetwork.FRESH_WITHIN_MILLIS * NANOS_PER_MILLI;
    }

    private void connect() {
        if (connecting) {
            return;
        }
        connecting = true;
        ChannelFuture future = network.connector(this).connect(TcpNetwork.socketAddress(to));
        future.addListener(done -> onConnected(future));
    }

    private synchronized void onConnected(ChannelFuture future) {
        connecting = false;
        if (!future.isSuccess()) {
            // What waited is lost, as a message on a broken connection is; the cores ask again.
            waiting.clear();
            network.forget(this);
            return;
        }
        channel = future.channel();
        connectedAt = System.nanoTime();
        echoAt = connectedAt;
        while (!waiting.isEmpty()) {
            channel.write(waiting.poll(), channel.voidPromise());
        }
        channel.flush();
        heartbeat = channel.eventLoop()
                .scheduleAtFixedRate(
                        this::beat, TcpNetwork.HEARTBEAT_MILLIS, TcpNetwork.HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private synchronized void beat() {
        long now = System.nanoTime();
        if (channel == null) {
            return;
        }
        boolean silent = now - echoAt > TcpNetwork.SILENT_MILLIS * NANOS_PER_MILLI;
        boolean idle = now - usedAt > TcpNetwork.IDLE_MILLIS * NANOS_PER_MILLI;
        if (silent) {
            Logger.info(LOG + "The connection to {} went silent and is closed.", to);
        }
        if (silent || idle) {
            drop();
            network.forget(this);
            return;
        }
        channel.writeAndFlush(Envelope.getDefaultInstance(), channel.voidPromise());
    }

    private synchronized void onInactive(Channel ended) {
        if (channel == ended) {
            drop();
            network.forget(this);
        }
    }

    private void drop() {
        if (heartbeat != null) {
            heartbeat.cancel(false);
            heartbeat = null;
        }
        if (channel != null) {
            Channel old = channel;
            channel = null;
            old.close();
        }
    }
}
