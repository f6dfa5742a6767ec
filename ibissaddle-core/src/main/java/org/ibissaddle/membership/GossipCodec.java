package org.ibissaddle.membership;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.function.Function;
import org.ibissaddle.id.AdapterId;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.InvalidIdentifierException;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;

/**
 * Encodes and decodes messages between instances as JSON.
 *
 * <pre>{@code
 * byte[] body = GossipCodec.encode(gossip);
 * Gossip answer = GossipCodec.decode(reply, Gossip.class);
 * }</pre>
 */
public final class GossipCodec {
    /** Maximum size of a message to decode, in bytes. */
    public static final int MAX_BYTES = 4_000_000;

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .addModule(identifierModule())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private GossipCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return JSON in UTF-8
     */
    public static byte[] encode(Object message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JacksonException e) {
            throw new IllegalArgumentException(
                    "cannot serialize " + message.getClass() + " as JSON; its fields must be serializable by Jackson",
                    e);
        }
    }

    /**
     * Decodes a message.
     *
     * @param body JSON in UTF-8
     * @param type type of the message
     * @param <T> type of the message
     * @return the message
     * @throws MessageRejectedException when the body is too long or not a valid message of the type
     */
    public static <T> T decode(byte[] body, Class<T> type) throws MessageRejectedException {
        if (body.length > MAX_BYTES) {
            throw new MessageRejectedException(
                    type, "body has " + body.length + " bytes, the limit is " + MAX_BYTES, null);
        }
        try {
            T message = MAPPER.readValue(body, type);
            if (message == null) {
                throw new MessageRejectedException(type, "body is JSON null", null);
            }
            return message;
        } catch (IOException e) {
            throw new MessageRejectedException(type, String.valueOf(e.getMessage()), e);
        }
    }

    private static SimpleModule identifierModule() {
        SimpleModule module = new SimpleModule("names");
        addIdentifier(module, InstanceId.class, InstanceId::new);
        addIdentifier(module, ServerId.class, ServerId::new);
        addIdentifier(module, PoolId.class, PoolId::new);
        addIdentifier(module, AdapterId.class, AdapterId::new);
        addIdentifier(module, Region.class, Region::new);
        addIdentifier(module, Zone.class, Zone::new);
        addIdentifier(module, Address.class, Address::parse);
        addIdentifier(module, ModelId.class, ModelId::parse);
        addIdentifier(module, Incarnation.class, Incarnation::parse);
        return module;
    }

    private static <T> void addIdentifier(SimpleModule module, Class<T> type, Function<String, T> parser) {
        module.addSerializer(type, ToStringSerializer.instance);
        module.addDeserializer(type, new IdentifierDeserializer<>(type, parser));
    }

    private static final class IdentifierDeserializer<T> extends FromStringDeserializer<T> {
        private static final long serialVersionUID = 1L;

        private final transient Function<String, T> parser;

        IdentifierDeserializer(Class<T> type, Function<String, T> parser) {
            super(type);
            this.parser = parser;
        }

        @Override
        protected T _deserialize(String value, DeserializationContext context) throws IOException {
            try {
                return parser.apply(value);
            } catch (InvalidIdentifierException e) {
                JsonParser jsonParser = context.getParser();
                throw new com.fasterxml.jackson.databind.exc.InvalidFormatException(
                        jsonParser, String.valueOf(e.getMessage()), value, _valueClass);
            }
        }
    }
}
