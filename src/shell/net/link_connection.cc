#include "shell/net/link_connection.h"

#include <array>
#include <boost/asio/write.hpp>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

#include "shell/net/peer_input.h"

namespace coltsfootfork {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kMaxFrameBytes = 8U << 20U;
constexpr std::size_t kReadBufferBytes = 16U << 10U;
constexpr char kClientUri[] = "ws://coltsfootfork/link";

struct ServerConfig : websocketpp::config::core {
  using type = ServerConfig;
  // websocketpp requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static const std::size_t max_message_size = kMaxFrameBytes;
};

struct ClientConfig : websocketpp::config::core_client {
  using type = ClientConfig;
  // websocketpp requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static const std::size_t max_message_size = kMaxFrameBytes;
};

using ServerEndpoint = websocketpp::server<ServerConfig>;
using ClientEndpoint = websocketpp::client<ClientConfig>;

// Runs websocketpp on a socket that this class owns. The Asio client transport
// of websocketpp is not used because it resolves names on a second thread.
template <typename Endpoint>
class WebsocketLink
    : public LinkConnection,
      public std::enable_shared_from_this<WebsocketLink<Endpoint>> {
 public:
  WebsocketLink(asio::ip::tcp::socket socket, LinkEvents events)
      : socket_(std::move(socket)), events_(std::move(events)) {
    endpoint_.clear_access_channels(websocketpp::log::alevel::all);
    endpoint_.clear_error_channels(websocketpp::log::elevel::all);
  }

  void Accept() {
    connection_ = endpoint_.get_connection();
    AttachHandlers();
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    connection_->start();
    Read();
  }

  void Connect(const asio::ip::tcp::endpoint& peer) {
    auto self = this->shared_from_this();
    socket_.async_connect(peer, [self](error_code error) {
      if (error) return self->Fail();
      self->StartClient();
    });
  }

  void Send(std::string_view frame) override {
    if (!open_ || closing_) return;
    connection_->send(frame.data(), frame.size(),
                      websocketpp::frame::opcode::binary);
  }

  void Close() override {
    if (closing_) return;
    events_ = {};
    closing_ = true;
    if (open_) {
      websocketpp::lib::error_code ignored;
      connection_->close(websocketpp::close::status::normal, "", ignored);
    }
    if (writing_.empty()) CloseSocket();
  }

  std::size_t backlog_bytes() const override {
    return writing_.size() + pending_.size();
  }

 private:
  using Connection = typename Endpoint::connection_ptr;

  void StartClient() {
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    websocketpp::lib::error_code error;
    connection_ = endpoint_.get_connection(kClientUri, error);
    if (error) return Fail();
    AttachHandlers();
    if constexpr (std::is_same_v<Endpoint, ClientEndpoint>) {
      endpoint_.connect(connection_);
    }
    Read();
  }

  void AttachHandlers() {
    connection_->set_write_handler([this](const websocketpp::connection_hdl&,
                                          const char* data, std::size_t size) {
      pending_.append(data, size);
      Write();
      return websocketpp::lib::error_code();
    });
    connection_->set_open_handler([this](const websocketpp::connection_hdl&) {
      open_ = true;
      if (events_.on_open) events_.on_open();
    });
    connection_->set_message_handler(
        [this](const websocketpp::connection_hdl&,
               const typename Endpoint::message_ptr& message) {
          if (events_.on_frame) events_.on_frame(message->get_payload());
        });
  }

  void Read() {
    auto self = this->shared_from_this();
    socket_.async_read_some(
        asio::buffer(read_buffer_), [self](error_code error, std::size_t size) {
          if (error) return self->Fail();
          std::size_t consumed = 0;
          const bool handled = HandlePeerInput("link", [&] {
            consumed =
                self->connection_->read_all(self->read_buffer_.data(), size);
          });
          if (!handled || consumed < size) return self->Fail();
          self->Read();
        });
  }

  void Write() {
    if (!writing_.empty() || pending_.empty()) return;
    writing_.swap(pending_);
    auto self = this->shared_from_this();
    asio::async_write(socket_, asio::buffer(writing_),
                      [self](error_code error, std::size_t) {
                        self->writing_.clear();
                        if (error) return self->Fail();
                        self->Write();
                        if (self->closing_ && self->writing_.empty()) {
                          self->CloseSocket();
                        }
                      });
  }

  void Fail() {
    CloseSocket();
    open_ = false;
    closing_ = true;
    std::function<void()> on_closed = std::move(events_.on_closed);
    events_ = {};
    if (on_closed) on_closed();
  }

  void CloseSocket() {
    error_code ignored;
    socket_.close(ignored);
  }

  Endpoint endpoint_;
  Connection connection_;
  asio::ip::tcp::socket socket_;
  LinkEvents events_;
  std::array<char, kReadBufferBytes> read_buffer_{};
  std::string writing_;
  std::string pending_;
  bool open_ = false;
  bool closing_ = false;
};

}  // namespace

std::shared_ptr<LinkConnection> AcceptLink(asio::ip::tcp::socket socket,
                                           LinkEvents events) {
  auto link = std::make_shared<WebsocketLink<ServerEndpoint>>(
      std::move(socket), std::move(events));
  link->Accept();
  return link;
}

std::shared_ptr<LinkConnection> OpenLink(asio::io_context& io,
                                         const asio::ip::tcp::endpoint& peer,
                                         LinkEvents events) {
  auto link = std::make_shared<WebsocketLink<ClientEndpoint>>(
      asio::ip::tcp::socket(io), std::move(events));
  link->Connect(peer);
  return link;
}

}  // namespace coltsfootfork
