package org.cuminshelf.network;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cuminshelf.core.Address;
import org.cuminshelf.message.Envelope;
import org.tinylog.Logger;

/**
 * Sends and receives messages over TCP. Each process listens on its address. A sender keeps one connection to the
 * listening address of a receiver, and the receiver answers over a connection of its own.
 *
 * <p>Guards against network equipment that drops the state of a connection, which then stays open but delivers nothing.
 * Each connection carries a heartbeat every second, which the receiver echoes. A connection without an echo for
 * {@link #ECHO_TIMEOUT_MILLIS} is closed; a send that requires a recent echo already replaces it after
 * {@link #MAX_ECHO_AGE_MILLIS}.
 */
public final class TcpNetwork implements Network, AutoCloseable {

    static final int MAX_MESSAGE_BYTES = 64 << 20;
    static final long HEARTBEAT_INTERVAL_MILLIS = 1_000;
    static final long ECHO_TIMEOUT_MILLIS = 3_000;
    static final long MAX_ECHO_AGE_MILLIS = 1_300;
    static final long IDLE_TIMEOUT_MILLIS = 60_000;

    private static final String LOG = "network: ";
    private static final int LENGTH_BYTES = 4;
    /**
     * Longer than a round trip between regions, and shorter than the second after which the operating system sends an
     * unanswered connection request again: one that was lost, or sent to a VM that is just starting, delayed the first
     * message by a second. Senders retry, so the next request follows at once.
     */
    static final int CONNECT_TIMEOUT_MILLIS = 300;

    private final EventLoopGroup eventLoops;
    private final Optional<ReloadingTlsContext> tls;
    private final Map<Address, OutboundConnection> connections = new ConcurrentHashMap<>();
    private final TrafficCounters traffic = new TrafficCounters();
    private Channel listener;

    private TcpNetwork(int threads, Optional<ReloadingTlsContext> tls) {
        this.eventLoops = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
        this.tls = tls;
    }

    /**
     * Creates a network that only sends until {@link #listen} is called.
     *
     * @param threads number of event loop threads
     * @param tls     TLS context of both directions, or empty for unencrypted connections
     * @return the network
     */
    public static TcpNetwork open(int threads, Optional<ReloadingTlsContext> tls) {
        return new TcpNetwork(threads, tls);
    }

    /**
     * Starts listening for messages.
     *
     * @param address  the address to listen on
     * @param receiver receives each message, on an event loop thread
     * @throws IOException if the process cannot listen on the address
     */
    public void listen(Address address, Consumer<Envelope> receiver) throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) throws IOException {
                        if (tls.isPresent()) {
                            channel.pipeline().addLast(tls.get().serverContext().newHandler(channel.alloc()));
                        }
                        addCodec(channel);
                        channel.pipeline().addLast(new InboundHandler(receiver));
                    }
                });
        try {
            listener = bootstrap.bind(socketAddress(address)).sync().channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while binding " + address, e);
        } catch (Exception e) {
            throw new IOException(
                    "cannot listen on " + address + ": " + e.getMessage() + "; is another process using it?", e);
        }
    }

    @Override
    public void send(Address to, Envelope message, boolean requireRecentEcho) {
        traffic.recordSent(message.getSerializedSize() + LENGTH_BYTES);
        connections
                .computeIfAbsent(to, key -> new OutboundConnection(this, key))
                .send(message, requireRecentEcho);
    }

    /**
     * Returns the counters of sent and received messages and bytes.
     *
     * @return the counters
     */
    public TrafficCounters traffic() {
        return traffic;
    }

    @Override
    public void close() {
        if (listener != null) {
            listener.close().syncUninterruptibly();
        }
        connections.values().forEach(OutboundConnection::close);
        eventLoops.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    Bootstrap bootstrapFor(OutboundConnection connection) {
        return new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) throws IOException {
                        if (tls.isPresent()) {
                            channel.pipeline().addLast(tls.get().clientContext().newHandler(channel.alloc()));
                        }
                        addCodec(channel);
                        channel.pipeline().addLast(connection.echoHandler());
                    }
                });
    }

    void removeConnection(OutboundConnection connection) {
        connections.remove(connection.to(), connection);
    }

    static InetSocketAddress socketAddress(Address address) {
        String value = address.value();
        int colon = value.lastIndexOf(':');
        return new InetSocketAddress(value.substring(0, colon), Integer.parseInt(value.substring(colon + 1)));
    }

    private static void addCodec(Channel channel) {
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new EnvelopeDecoder())
                .addLast(new EnvelopeEncoder());
    }

    /** Passes messages to the receiver and echoes heartbeats, which are messages without a body. */
    private final class InboundHandler extends SimpleChannelInboundHandler<Envelope> {

        private final Consumer<Envelope> receiver;

        private InboundHandler(Consumer<Envelope> receiver) {
            this.receiver = receiver;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope message) {
            if (message.getBodyCase() == Envelope.BodyCase.BODY_NOT_SET) {
                context.writeAndFlush(message);
                return;
            }
            traffic.recordReceived(message.getSerializedSize() + LENGTH_BYTES);
            if (!Address.of(message.getFrom()).isLocal()) {
                deliver(message);
            }
        }

        private void deliver(Envelope message) {
            try {
                receiver.accept(message);
            } catch (RuntimeException | StackOverflowError e) {
                // The connection is sound: closing it would lose the messages that follow.
                Logger.error(e, LOG + "Failed to process a message of kind {}.", message.getBodyCase());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            Logger.debug(
                    LOG + "Closing the connection from {} after an error: {}.",
                    context.channel().remoteAddress(),
                    cause.getMessage());
            context.close();
        }
    }
}
