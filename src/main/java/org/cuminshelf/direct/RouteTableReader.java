package org.cuminshelf.direct;

import java.io.IOException;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cuminshelf.core.DocumentCompression;
import org.cuminshelf.routes.RouteTable;
import org.tinylog.Logger;

/**
 * Reads configurations beside the way of requests. Read under the entry's lock, a document of some 300 KB would hold up
 * every request until all of it is read; how long that is was not measured apart.
 */
public interface RouteTableReader {

    /**
     * Reads a configuration.
     *
     * @param deflated the document, deflated
     * @param onRead takes the routes, or nothing if the document can't be read; it is called under the core's lock,
     *     at once or later
     */
    void read(byte[] deflated, Consumer<Optional<RouteTable>> onRead);

    /**
     * Makes a reader that reads at once.
     *
     * @param parser reads a document
     * @return the reader
     */
    static RouteTableReader synchronous(Function<byte[], Optional<RouteTable>> parser) {
        return (deflated, onRead) -> onRead.accept(parse(deflated, parser));
    }

    /**
     * Reads a deflated document.
     *
     * @param deflated the document, deflated
     * @param parser   reads it
     * @return the routes, or nothing if it can't be read
     */
    static Optional<RouteTable> parse(byte[] deflated, Function<byte[], Optional<RouteTable>> parser) {
        try {
            return parser.apply(DocumentCompression.inflate(deflated));
        } catch (IOException e) {
            Logger.warn("entry: event=config state=unreadable reason=\"{}\"", e.getMessage());
            return Optional.empty();
        }
    }
}
