/** The HTTP/1.1 server under every stand-in. */
package org.ibissaddle.standins.internal.http;
