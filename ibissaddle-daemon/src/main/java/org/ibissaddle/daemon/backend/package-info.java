/** Calls to backend servers and to other instances over OkHttp. */
package org.ibissaddle.daemon.backend;
