package org.cuminshelf.direct;

import java.io.IOException;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cuminshelf.core.DocumentCompression;
import org.cuminshelf.routes.RouteTable;
import org.tinylog.Logger;

/**
 * Reads configuration documents off the request path. Parsing a document of some 300 KB under the entry's lock would
 * block every request meanwhile.
 */
public interface RouteTableReader {

    /**
     * Reads a configuration document.
     *
     * @param deflated the document, deflated
     * @param onRead   receives the routes, or empty if the document is invalid; called under the core's lock, before
     *     this method returns or later
     */
    void read(byte[] deflated, Consumer<Optional<RouteTable>> onRead);

    /**
     * Creates a reader that parses and calls back before it returns.
     *
     * @param parser parses an inflated document
     * @return the reader
     */
    static RouteTableReader synchronous(Function<byte[], Optional<RouteTable>> parser) {
        return (deflated, onRead) -> onRead.accept(parse(deflated, parser));
    }

    /**
     * Inflates and parses a document.
     *
     * @param deflated the document, deflated
     * @param parser   parses an inflated document
     * @return the routes, or empty if the document is invalid
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
