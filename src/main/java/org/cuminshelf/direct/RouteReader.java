package org.cuminshelf.direct;

import java.io.IOException;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cuminshelf.core.Deflated;
import org.cuminshelf.routes.RouteTable;
import org.tinylog.Logger;

/**
 * Reads configurations beside the way of requests. Read under the entry's lock, a document of some 300 KB would hold up
 * every request until all of it is read; how long that is was not measured apart.
 */
public interface RouteReader {

    /**
     * Reads a configuration.
     *
     * @param deflated the document, deflated
     * @param whenRead takes the routes, or nothing if the document can't be read; it is called under the core's lock,
     *     at once or later
     */
    void read(byte[] deflated, Consumer<Optional<RouteTable>> whenRead);

    /**
     * Makes a reader that reads at once.
     *
     * @param format reads a document
     * @return the reader
     */
    static RouteReader atOnce(Function<byte[], Optional<RouteTable>> format) {
        return (deflated, whenRead) -> whenRead.accept(parse(deflated, format));
    }

    /**
     * Reads a deflated document.
     *
     * @param deflated the document, deflated
     * @param format   reads it
     * @return the routes, or nothing if it can't be read
     */
    static Optional<RouteTable> parse(byte[] deflated, Function<byte[], Optional<RouteTable>> format) {
        try {
            return format.apply(Deflated.inflate(deflated));
        } catch (IOException e) {
            Logger.warn("entry: event=config state=unreadable reason=\"{}\"", e.getMessage());
            return Optional.empty();
        }
    }
}
