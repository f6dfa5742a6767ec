package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.ibissaddle.backend.RequestDemand;
import org.ibissaddle.id.Region;
import org.ibissaddle.route.Access;

/** The content of a request, by which the quarantine recognises it when it comes again under another id. */
final class RequestContent {
    /** Size of a fingerprint, bytes. */
    private static final int FINGERPRINT_BYTES = 16;

    private final IncomingRequest request;
    private final RequestDemand demand;
    private final Supplier<Access.Granted> access;
    private String fingerprint = "";

    RequestContent(IncomingRequest request, RequestDemand demand, Supplier<Access.Granted> access) {
        this.request = request;
        this.demand = demand;
        this.access = access;
    }

    /** Returns the ids of the prompt parts that other requests share. */
    List<String> sharedPartIds() {
        return demand.sharedPartIds();
    }

    /** Returns the regions that the content is bound to, empty if it is unbound. */
    Set<Region> homes() {
        return access.get().route().homeRegions();
    }

    /**
     * Returns a hash of the method, target, caller and body. It is computed when it is first needed, and only while the
     * body is still held.
     */
    String fingerprint() {
        if (fingerprint.isEmpty()) {
            fingerprint = computeFingerprint();
        }
        return fingerprint;
    }

    private String computeFingerprint() {
        MessageDigest digest = newDigest();
        update(digest, request.method().name());
        update(digest, header(HttpHeaderNames.HOST.toString()));
        update(digest, request.target());
        update(digest, caller());
        ByteBuf body = request.body();
        for (ByteBuffer bytes : body.nioBuffers(body.readerIndex(), body.readableBytes())) {
            digest.update(bytes);
        }
        return HexFormat.of().formatHex(Arrays.copyOf(digest.digest(), FINGERPRINT_BYTES));
    }

    /** Other instances learn the fingerprint, so that it must not depend on an API key. */
    private String caller() {
        return access.get().keyed()
                ? access.get()
                        .workspace()
                        .map(workspace -> workspace.id().name())
                        .orElse("")
                : header(HttpHeaderNames.AUTHORIZATION.toString());
    }

    private String header(String name) {
        return Optional.ofNullable(request.header(name)).orElse("");
    }

    /** Adds a text with its length, so that different texts in a row never have the same bytes. */
    private static void update(MessageDigest digest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
        digest.update(bytes);
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }
}
