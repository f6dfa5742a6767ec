/** The control port, an HTTP server on Jooby: instance discovery for callers, and endpoints for operators and peers. */
package org.ibissaddle.daemon.control;
