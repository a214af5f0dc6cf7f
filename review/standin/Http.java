import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Reads HTTP/1.1 messages with a length, in chunks, or up to the end of the connection. */
final class Http {

    private Http() {}

    static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("the connection ended in a head");
            }
            head.write(next);
            matched = next == (matched % 2 == 0 ? '\r' : '\n') ? matched + 1 : next == '\r' ? 1 : 0;
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    static String header(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                return line.substring(name.length() + 1).trim();
            }
        }
        return "";
    }

    static byte[] readBody(InputStream in, String head) throws IOException {
        if (header(head, "Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in).trim(), 16);
                byte[] chunk = in.readNBytes(size);
                if (chunk.length < size) {
                    throw new EOFException("the connection ended in a chunk");
                }
                body.write(chunk);
                readLine(in);
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        }
        String length = header(head, "Content-Length");
        if (length.isEmpty()) {
            return new byte[0];
        }
        byte[] body = in.readNBytes(Integer.parseInt(length));
        if (body.length < Integer.parseInt(length)) {
            throw new EOFException("the connection ended in a body");
        }
        return body;
    }

    static Fleet.Response readResponse(InputStream in, boolean withoutBody) throws IOException {
        String head = readHead(in);
        int status = Integer.parseInt(head.split(" ")[1]);
        byte[] body = withoutBody ? new byte[0] : readBody(in, head);
        return new Fleet.Response(status, head, body);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = in.read();
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("the connection ended in a line");
            }
            if (next != '\r') {
                line.append((char) next);
            }
            next = in.read();
        }
        return line.toString();
    }
}
