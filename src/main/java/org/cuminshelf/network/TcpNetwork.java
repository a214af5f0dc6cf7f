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
 * Messages over TCP. Each process listens on its address; a process that has something to send keeps one connection to
 * the receiver's listening address, and the receiver answers over a connection of its own.
 *
 * <p>Failure it guards against: something between the two ends loses track of a connection, which then stays open and
 * silent for good. Every second each connection carries a heartbeat that the receiver echoes; one without an echo for
 * {@link #SILENT_MILLIS} is closed, and a fresh send leaves it behind even sooner.
 */
public final class TcpNetwork implements Network, AutoCloseable {

    static final int LARGEST_MESSAGE = 64 << 20;
    static final long HEARTBEAT_MILLIS = 1_000;
    static final long SILENT_MILLIS = 3_000;
    static final long FRESH_WITHIN_MILLIS = 1_300;
    static final long IDLE_MILLIS = 60_000;

    private static final String LOG = "network: ";
    private static final int LENGTH_BYTES = 4;
    private static final int CONNECT_MILLIS = 1_000;

    private final EventLoopGroup loops;
    private final Optional<ReloadingTlsContext> tls;
    private final Map<Address, OutboundConnection> links = new ConcurrentHashMap<>();
    private final TrafficCounters traffic = new TrafficCounters();
    private Channel listener;

    private TcpNetwork(int threads, Optional<ReloadingTlsContext> tls) {
        this.loops = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
        this.tls = tls;
    }

    /**
     * Makes a network that only sends until {@link #listen} is called.
     *
     * @param threads event loop threads
     * @param tls     keys and certificates, or nothing where connections stay in the clear
     * @return the network
     */
    public static TcpNetwork open(int threads, Optional<ReloadingTlsContext> tls) {
        return new TcpNetwork(threads, tls);
    }

    /**
     * Listens for messages.
     *
     * @param address  the own address
     * @param receiver takes each message, on an event loop thread
     * @throws IOException if the address can't be used
     */
    public void listen(Address address, Consumer<Envelope> receiver) throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) throws IOException {
                        if (tls.isPresent()) {
                            channel.pipeline().addLast(tls.get().serverContext().newHandler(channel.alloc()));
                        }
                        addCodec(channel);
                        channel.pipeline().addLast(new Receiver(receiver));
                    }
                });
        try {
            listener = bootstrap.bind(socketAddress(address)).sync().channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while binding " + address, e);
        } catch (Exception e) {
            throw new IOException(
                    "can't listen on " + address + ": " + e.getMessage() + "; is another process using it?", e);
        }
    }

    @Override
    public void send(Address to, Envelope message, boolean fresh) {
        traffic.sent(message.getSerializedSize() + LENGTH_BYTES);
        links.computeIfAbsent(to, key -> new OutboundConnection(this, key)).send(message, fresh);
    }

    /**
     * Counts what was sent and received.
     *
     * @return the counts so far
     */
    public TrafficCounters traffic() {
        return traffic;
    }

    @Override
    public void close() {
        if (listener != null) {
            listener.close().syncUninterruptibly();
        }
        links.values().forEach(OutboundConnection::close);
        loops.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    Bootstrap connector(OutboundConnection link) {
        return new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) throws IOException {
                        if (tls.isPresent()) {
                            channel.pipeline().addLast(tls.get().clientContext().newHandler(channel.alloc()));
                        }
                        addCodec(channel);
                        channel.pipeline().addLast(link.echoes());
                    }
                });
    }

    void forget(OutboundConnection link) {
        links.remove(link.to(), link);
    }

    static InetSocketAddress socketAddress(Address address) {
        String value = address.value();
        int colon = value.lastIndexOf(':');
        return new InetSocketAddress(value.substring(0, colon), Integer.parseInt(value.substring(colon + 1)));
    }

    private static void addCodec(Channel channel) {
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(LARGEST_MESSAGE, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new EnvelopeDecoder())
                .addLast(new EnvelopeEncoder());
    }

    /** Takes messages and echoes heartbeats, which are messages without a body. */
    private final class Receiver extends SimpleChannelInboundHandler<Envelope> {

        private final Consumer<Envelope> receiver;

        private Receiver(Consumer<Envelope> receiver) {
            this.receiver = receiver;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope message) {
            if (message.getBodyCase() == Envelope.BodyCase.BODY_NOT_SET) {
                context.writeAndFlush(message);
                return;
            }
            traffic.received(message.getSerializedSize() + LENGTH_BYTES);
            if (!Address.of(message.getFrom()).isLocal()) {
                receiver.accept(message);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            Logger.debug(
                    LOG + "A connection from {} ends: {}.", context.channel().remoteAddress(), cause.getMessage());
            context.close();
        }
    }
}
