package org.ibissaddle.daemon.backend;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.UnknownHostException;
import javax.net.SocketFactory;
import org.ibissaddle.id.Address;

/** Creates sockets that are bound to a given local address. */
public final class LocalAddressSocketFactory extends SocketFactory {
    private final InetAddress source;

    private LocalAddressSocketFactory(InetAddress source) {
        this.source = source;
    }

    /**
     * Creates a factory of sockets that are bound to the IP address of {@code address} and an ephemeral port.
     *
     * @param address an address of the instance
     * @return the factory
     */
    public static LocalAddressSocketFactory from(Address address) {
        try {
            return new LocalAddressSocketFactory(InetAddress.getByName(address.host()));
        } catch (UnknownHostException e) {
            throw new IllegalStateException(
                    "address " + address + " has no literal IP address; it should have been validated before", e);
        }
    }

    @Override
    public Socket createSocket() throws IOException {
        Socket socket = new Socket();
        socket.bind(new InetSocketAddress(source, 0));
        return socket;
    }

    @Override
    public Socket createSocket(String host, int port) throws IOException {
        return connect(new InetSocketAddress(host, port));
    }

    @Override
    public Socket createSocket(String host, int port, InetAddress localHost, int localPort) throws IOException {
        return connect(new InetSocketAddress(host, port));
    }

    @Override
    public Socket createSocket(InetAddress host, int port) throws IOException {
        return connect(new InetSocketAddress(host, port));
    }

    @Override
    public Socket createSocket(InetAddress address, int port, InetAddress localAddress, int localPort)
            throws IOException {
        return connect(new InetSocketAddress(address, port));
    }

    private Socket connect(InetSocketAddress target) throws IOException {
        Socket socket = createSocket();
        socket.connect(target);
        return socket;
    }
}
