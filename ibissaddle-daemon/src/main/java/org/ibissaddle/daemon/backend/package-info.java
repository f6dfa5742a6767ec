/** HTTP clients for backend servers and other instances, based on OkHttp. */
package org.ibissaddle.daemon.backend;
