package org.cuminshelf.process;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cuminshelf.message.Envelope;

/** The interface of a control process to clients outside the system, such as operators. */
public interface ControlEndpoint extends AutoCloseable {

    /** Opens the external interface of a control process. */
    @FunctionalInterface
    interface Opener {

        /**
         * Opens the interface.
         *
         * @param core     receives the requests for the core
         * @param config   supplies the accepted configuration
         * @param ready    whether every group has a known leader
         * @param registry the metrics of the process
         * @return the open interface
         * @throws IOException if the interface cannot listen on its address
         */
        ControlEndpoint open(
                Consumer<Envelope.Builder> core,
                Supplier<byte[]> config,
                BooleanSupplier ready,
                PrometheusRegistry registry)
                throws IOException;
    }

    /**
     * Delivers a message from the core: the answer to a request, or an order to an upstream. Called on the core's
     * thread.
     *
     * @param message the answer or order
     */
    void deliver(Envelope message);

    /**
     * Returns the TCP port on which the interface listens.
     *
     * @return the port
     */
    int port();

    @Override
    void close();
}
