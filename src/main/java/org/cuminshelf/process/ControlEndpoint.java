package org.cuminshelf.process;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cuminshelf.message.Envelope;

/** The interface of a control process to those who are no process of the system. */
public interface ControlEndpoint extends AutoCloseable {

    /** Opens the interface of one control process. */
    @FunctionalInterface
    interface Opener {

        /**
         * Opens the interface.
         *
         * @param core     takes requests
         * @param config   the accepted configuration
         * @param ready    whether a leader is known
         * @param registry the metrics of the process
         * @return the interface
         * @throws IOException if its address can't be used
         */
        ControlEndpoint open(
                Consumer<Envelope.Builder> core,
                Supplier<byte[]> config,
                BooleanSupplier ready,
                PrometheusRegistry registry)
                throws IOException;
    }

    /**
     * Takes the core's answers, and orders to upstreams; called on the core's thread.
     *
     * @param message an answer or an order
     */
    void deliver(Envelope message);

    /**
     * The port in use.
     *
     * @return the port
     */
    int port();

    @Override
    void close();
}
