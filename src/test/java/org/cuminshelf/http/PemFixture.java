package org.cuminshelf.http;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Base64;

/** A self-signed certificate and its key in PEM files, made with the JDK's own tool. */
public record PemFixture(Path certificate, Path key) {

    private static final char[] PASSWORD = "password".toCharArray();

    /** Makes new files in a folder, over older ones of the same name. */
    public static PemFixture make(Path folder, String name) throws Exception {
        Path store = Files.createTempDirectory("pem").resolve("store.p12");
        Process tool = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "keytool")
                                .toString(),
                        "-genkeypair",
                        "-alias",
                        "own",
                        "-keyalg",
                        "EC",
                        "-dname",
                        "CN=" + name,
                        "-ext",
                        "SAN=ip:127.0.0.1",
                        "-validity",
                        "30",
                        "-storetype",
                        "PKCS12",
                        "-keystore",
                        store.toString(),
                        "-storepass",
                        new String(PASSWORD))
                .redirectErrorStream(true)
                .start();
        String said = new String(tool.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        if (tool.waitFor() != 0) {
            throw new IOException("keytool failed: " + said);
        }
        return export(store, folder);
    }

    private static PemFixture export(Path store, Path folder) throws IOException, GeneralSecurityException {
        KeyStore keys = KeyStore.getInstance("PKCS12");
        try (InputStream input = Files.newInputStream(store)) {
            keys.load(input, PASSWORD);
        }
        Path certificate = folder.resolve("cert.pem");
        Path key = folder.resolve("key.pem");
        Files.writeString(
                certificate, pem("CERTIFICATE", keys.getCertificate("own").getEncoded()));
        Files.writeString(key, pem("PRIVATE KEY", keys.getKey("own", PASSWORD).getEncoded()));
        return new PemFixture(certificate, key);
    }

    private static String pem(String kind, byte[] content) {
        String body = Base64.getMimeEncoder(64, "\n".getBytes(StandardCharsets.US_ASCII))
                .encodeToString(content);
        return "-----BEGIN " + kind + "-----\n" + body + "\n-----END " + kind + "-----\n";
    }
}
