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

/**
 * The outgoing connection to one other process. Connects on the first message; messages sent meanwhile are queued up to
 * {@link #MAX_QUEUED_MESSAGES}, beyond which the oldest is discarded.
 */
final class OutboundConnection {

    private static final String LOG = "network: ";
    private static final int MAX_QUEUED_MESSAGES = 10_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final TcpNetwork network;
    private final Address to;
    private final Deque<Envelope> queued = new ArrayDeque<>();
    private Channel channel;
    private boolean connecting;
    private long connectedNanos;
    private volatile long lastEchoNanos;
    private long lastSendNanos = System.nanoTime();
    private ScheduledFuture<?> heartbeat;

    OutboundConnection(TcpNetwork network, Address to) {
        this.network = network;
        this.to = to;
    }

    Address to() {
        return to;
    }

    synchronized void send(Envelope message, boolean requireRecentEcho) {
        lastSendNanos = System.nanoTime();
        if (requireRecentEcho && channel != null && !hasRecentEcho(lastSendNanos)) {
            Logger.debug(LOG + "No recent heartbeat echo from {}; opening a new connection.", to);
            disconnect();
        }
        if (channel != null && channel.isActive()) {
            channel.writeAndFlush(message, channel.voidPromise());
            return;
        }
        if (queued.size() >= MAX_QUEUED_MESSAGES) {
            queued.poll();
        }
        queued.add(message);
        connect();
    }

    synchronized void close() {
        disconnect();
        queued.clear();
    }

    ChannelHandler echoHandler() {
        return new SimpleChannelInboundHandler<Envelope>() {
            @Override
            protected void channelRead0(ChannelHandlerContext context, Envelope message) {
                lastEchoNanos = System.nanoTime();
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) {
                onInactive(context.channel());
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                Logger.debug(LOG + "Closing the connection to {} after an error: {}.", to, cause.getMessage());
                context.close();
            }
        };
    }

    private boolean hasRecentEcho(long now) {
        long ageNanos = now - Math.max(lastEchoNanos, connectedNanos);
        return ageNanos <= TcpNetwork.MAX_ECHO_AGE_MILLIS * NANOS_PER_MILLI;
    }

    private void connect() {
        if (connecting) {
            return;
        }
        connecting = true;
        ChannelFuture future = network.bootstrapFor(this).connect(TcpNetwork.socketAddress(to));
        future.addListener(completed -> onConnected(future));
    }

    private synchronized void onConnected(ChannelFuture future) {
        connecting = false;
        if (!future.isSuccess()) {
            // Queued messages are lost like those on a broken connection; the cores retry.
            queued.clear();
            network.removeConnection(this);
            return;
        }
        channel = future.channel();
        connectedNanos = System.nanoTime();
        lastEchoNanos = connectedNanos;
        while (!queued.isEmpty()) {
            channel.write(queued.poll(), channel.voidPromise());
        }
        channel.flush();
        heartbeat = channel.eventLoop()
                .scheduleAtFixedRate(
                        this::sendHeartbeat,
                        TcpNetwork.HEARTBEAT_INTERVAL_MILLIS,
                        TcpNetwork.HEARTBEAT_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private synchronized void sendHeartbeat() {
        long now = System.nanoTime();
        if (channel == null) {
            return;
        }
        boolean echoTimedOut = now - lastEchoNanos > TcpNetwork.ECHO_TIMEOUT_MILLIS * NANOS_PER_MILLI;
        boolean idle = now - lastSendNanos > TcpNetwork.IDLE_TIMEOUT_MILLIS * NANOS_PER_MILLI;
        if (echoTimedOut) {
            Logger.info(LOG + "No heartbeat echo from {}; closing the connection.", to);
        }
        if (echoTimedOut || idle) {
            disconnect();
            network.removeConnection(this);
            return;
        }
        channel.writeAndFlush(Envelope.getDefaultInstance(), channel.voidPromise());
    }

    private synchronized void onInactive(Channel closedChannel) {
        if (channel == closedChannel) {
            disconnect();
            network.removeConnection(this);
        }
    }

    private void disconnect() {
        if (heartbeat != null) {
            heartbeat.cancel(false);
            heartbeat = null;
        }
        if (channel != null) {
            Channel oldChannel = channel;
            channel = null;
            oldChannel.close();
        }
    }
}
