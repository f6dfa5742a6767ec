/** HTTP/1.1 server that all stand-ins are built on. */
package org.ibissaddle.standins.internal.http;
