#include "testbench/FaultProxy.h"

#include "testbench/FrameSplitter.h"

#include <algorithm>
#include <array>
#include <deque>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <utility>

namespace magnoliadrum {

namespace {

constexpr std::size_t kReadBytes = 65536;
constexpr int kBacklog = 256;

/** Bytes that one direction holds back during a cut; a longer stream is reset, as a real one would
 * time out. */
constexpr std::size_t kMaxHeldBytes = std::size_t{ 16 } * 1024 * 1024;

std::string
hostOf(const sockaddr* aAddress)
{
  const std::string text = SocketAddress::format(aAddress);
  return text.substr(0, text.rfind(':'));
}

} // namespace

/** Listens for one link. */
class FaultProxy::Listener
{
public:
  Listener(FaultProxy& aProxy, ProxyLink aLink)
    : mProxy(aProxy)
    , mLink(std::move(aLink))
  {
  }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  ~Listener()
  {
    if (mListener != nullptr) {
      evconnlistener_free(mListener);
    }
  }

  Result<Done> listen()
  {
    const Result<SocketAddress> address = SocketAddress::parse(mLink.mListen);
    if (!isOk(address)) {
      return errorOf(address);
    }
    const auto onAccept = [](evconnlistener* /*aListener*/,
                             evutil_socket_t aSocket,
                             sockaddr* aPeer,
                             int /*aLength*/,
                             void* aSelf) {
      Listener* self = static_cast<Listener*>(aSelf);
      self->mProxy.accept(self->mLink, aSocket, hostOf(aPeer));
    };
    mListener = evconnlistener_new_bind(mProxy.mLoop.base(),
                                        onAccept,
                                        this,
                                        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                        kBacklog,
                                        valueOf(address).data(),
                                        valueOf(address).length());
    if (mListener == nullptr) {
      return Error::create(ErrorCode::eIo, "listen", mLink.mListen, "address cannot be bound");
    }
    return Done{};
  }

private:
  FaultProxy& mProxy;
  ProxyLink mLink;
  evconnlistener* mListener = nullptr;
};

/** One forwarded connection: the client's side and the server's side. */
class FaultProxy::Pair : public std::enable_shared_from_this<FaultProxy::Pair>
{
public:
  Pair(FaultProxy& aProxy, std::string aLink, std::string aFrom)
    : mProxy(aProxy)
    , mLink(std::move(aLink))
    , mFrom(std::move(aFrom))
  {
    mToServer.mDirection = FaultDirection::eToServer;
    mToClient.mDirection = FaultDirection::eToClient;
  }
  Pair(const Pair&) = delete;
  Pair& operator=(const Pair&) = delete;
  ~Pair() { close(); }

  bool start(int aSocket, const SocketAddress& aForward)
  {
    mClient = bufferevent_socket_new(mProxy.mLoop.base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
    mServer = bufferevent_socket_new(mProxy.mLoop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    for (bufferevent* side : { mClient, mServer }) {
      bufferevent_setcb(side, onRead, nullptr, onEvent, this);
      bufferevent_enable(side, EV_READ | EV_WRITE);
    }
    return bufferevent_socket_connect(mServer, aForward.data(), aForward.length()) == 0;
  }

  /** Forwards what is no longer held back. */
  void flush()
  {
    const std::shared_ptr<Pair> keep = shared_from_this();
    drain(mToServer);
    drain(mToClient);
  }

private:
  /** One direction of the stream. */
  struct Stream
  {
    FaultDirection mDirection = FaultDirection::eBoth;
    FrameSplitter mSplitter;
    std::deque<std::string> mWaiting;
    std::size_t mWaitingBytes = 0;
    std::int64_t mFrames = 0;
    std::string mPostponed;
    EventHandlePointer mDelay;
  };

  static void onRead(bufferevent* aSide, void* aSelf)
  {
    const std::shared_ptr<Pair> self = static_cast<Pair*>(aSelf)->shared_from_this();
    self->read(aSide);
  }

  static void onEvent(bufferevent* /*aSide*/, short aEvents, void* aSelf)
  {
    if ((aEvents & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
      return;
    }
    const std::shared_ptr<Pair> self = static_cast<Pair*>(aSelf)->shared_from_this();
    // During a cut even the end of a connection must not be seen on the other side.
    self->mEnded = true;
    self->closeWhenDrained();
  }

  void read(bufferevent* aSide)
  {
    std::array<char, kReadBytes> buffer{};
    Stream& stream = aSide == mClient ? mToServer : mToClient;
    while (aSide == mClient || aSide == mServer) {
      const std::size_t length = bufferevent_read(aSide, buffer.data(), buffer.size());
      if (length == 0) {
        break;
      }
      for (std::string& piece : stream.mSplitter.add({ buffer.data(), length })) {
        stream.mWaitingBytes += piece.size();
        stream.mWaiting.push_back(std::move(piece));
      }
      if (stream.mWaitingBytes > kMaxHeldBytes) {
        reset();
        return;
      }
    }
    drain(stream);
  }

  void drain(Stream& aStream)
  {
    while (!aStream.mWaiting.empty() && mClient != nullptr && !aStream.mDelay) {
      const FaultRule* rule = mProxy.findRule(mLink, mFrom, aStream.mDirection, aStream.mFrames);
      if (rule == nullptr) {
        forward(aStream, takeFrame(aStream));
        continue;
      }
      if (rule->mKind == FaultKind::eCut) {
        return;
      }
      act(aStream, *rule);
    }
    closeWhenDrained();
  }

  void act(Stream& aStream, const FaultRule& aRule)
  {
    mProxy.countFault(aRule);
    if (aRule.mKind == FaultKind::eReset) {
      reset();
      return;
    }
    if (aRule.mKind == FaultKind::eDelay) {
      const Deadline at = mProxy.mLoop.now().plusMs(aRule.mDelayMs);
      aStream.mDelay = mProxy.mLoop.runAt(at, [this, &aStream]() {
        const std::shared_ptr<Pair> keep = shared_from_this();
        aStream.mDelay.reset();
        forward(aStream, takeFrame(aStream));
        drain(aStream);
      });
      return;
    }
    const std::string frame = takeFrame(aStream);
    if (aRule.mKind == FaultKind::eTruncate) {
      write(aStream, frame.substr(0, frame.size() / 2));
      mProxy.mLoop.post([keep = shared_from_this()]() { keep->reset(); });
    } else if (aRule.mKind == FaultKind::eDuplicate) {
      write(aStream, frame);
      forward(aStream, frame);
    } else {
      aStream.mPostponed = frame;
    }
  }

  static std::string takeFrame(Stream& aStream)
  {
    std::string frame = std::move(aStream.mWaiting.front());
    aStream.mWaiting.pop_front();
    aStream.mWaitingBytes -= frame.size();
    aStream.mFrames++;
    return frame;
  }

  void forward(Stream& aStream, const std::string& aFrame)
  {
    mProxy.mForwarded[mLink]++;
    write(aStream, aFrame);
    if (!aStream.mPostponed.empty()) {
      write(aStream, std::exchange(aStream.mPostponed, ""));
    }
  }

  void write(const Stream& aStream, const std::string& aBytes)
  {
    bufferevent* side = aStream.mDirection == FaultDirection::eToServer ? mServer : mClient;
    if (side != nullptr) {
      bufferevent_write(side, aBytes.data(), aBytes.size());
    }
  }

  void closeWhenDrained()
  {
    const bool isHeld = !mToServer.mWaiting.empty() || !mToClient.mWaiting.empty();
    const bool isCut =
      isCutNow(mToServer) || isCutNow(mToClient) || mToServer.mDelay || mToClient.mDelay;
    if (mEnded && !isHeld && !isCut) {
      mProxy.remove(this);
    }
  }

  bool isCutNow(const Stream& aStream)
  {
    const FaultRule* rule = mProxy.findRule(mLink, mFrom, aStream.mDirection, aStream.mFrames);
    return rule != nullptr && rule->mKind == FaultKind::eCut;
  }

  void reset()
  {
    const linger atOnce{ 1, 0 };
    for (bufferevent* side : { mClient, mServer }) {
      if (side != nullptr && bufferevent_getfd(side) >= 0) {
        setsockopt(bufferevent_getfd(side), SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
      }
    }
    mProxy.remove(this);
  }

  void close()
  {
    for (bufferevent** side : { &mClient, &mServer }) {
      if (*side != nullptr) {
        bufferevent_free(std::exchange(*side, nullptr));
      }
    }
  }

  friend class FaultProxy;

  FaultProxy& mProxy;
  std::string mLink;
  std::string mFrom;
  bufferevent* mClient = nullptr;
  bufferevent* mServer = nullptr;
  Stream mToServer;
  Stream mToClient;
  bool mEnded = false;
};

FaultProxy::FaultProxy(EventLoop& aLoop)
  : mLoop(aLoop)
{
}

FaultProxy::~FaultProxy() = default;

Result<std::unique_ptr<FaultProxy>>
FaultProxy::create(EventLoop& aLoop, const std::vector<ProxyLink>& aLinks)
{
  std::unique_ptr<FaultProxy> proxy(new FaultProxy(aLoop));
  for (const ProxyLink& link : aLinks) {
    proxy->mListeners.push_back(std::make_unique<Listener>(*proxy, link));
    const Result<Done> listening = proxy->mListeners.back()->listen();
    if (!isOk(listening)) {
      return errorOf(listening);
    }
  }
  return proxy;
}

void
FaultProxy::setRules(std::vector<FaultRule> aRules)
{
  mRules = std::move(aRules);
  mActed.assign(mRules.size(), 0);
  const std::vector<std::shared_ptr<Pair>> pairs(mPairs.begin(), mPairs.end());
  for (const std::shared_ptr<Pair>& pair : pairs) {
    pair->flush();
  }
}

void
FaultProxy::accept(const ProxyLink& aLink, int aSocket, const std::string& aFrom)
{
  const Result<SocketAddress> forward = SocketAddress::parse(aLink.mForward);
  if (!isOk(forward)) {
    evutil_closesocket(aSocket);
    return;
  }
  mPairs.push_back(std::make_shared<Pair>(*this, aLink.mName, aFrom));
  const std::shared_ptr<Pair> pair = mPairs.back();
  if (!pair->start(aSocket, valueOf(forward))) {
    remove(pair.get());
  }
}

const FaultRule*
FaultProxy::findRule(const std::string& aLink,
                     const std::string& aFrom,
                     FaultDirection aDirection,
                     std::int64_t aFrame) const
{
  for (std::size_t index = 0; index < mRules.size(); index++) {
    const FaultRule& rule = mRules[index];
    const bool matches =
      (rule.mLink.empty() || rule.mLink == aLink) && (rule.mFrom.empty() || rule.mFrom == aFrom) &&
      (rule.mDirection == FaultDirection::eBoth || rule.mDirection == aDirection) &&
      aFrame >= rule.mAfterFrames;
    if (!matches || (rule.mTimes > 0 && mActed[index] >= rule.mTimes)) {
      continue;
    }
    return &rule;
  }
  return nullptr;
}

void
FaultProxy::countFault(const FaultRule& aRule)
{
  mFaults++;
  mActed[static_cast<std::size_t>(&aRule - mRules.data())]++;
}

void
FaultProxy::remove(Pair* aPair)
{
  const auto isPair = [aPair](const std::shared_ptr<Pair>& aOther) {
    return aOther.get() == aPair;
  };
  const auto position = std::find_if(mPairs.begin(), mPairs.end(), isPair);
  if (position == mPairs.end()) {
    return;
  }
  const std::shared_ptr<Pair> pair = *position;
  mPairs.erase(position);
  pair->close();
  // A callback of the pair may still run further up, so it is released from the loop.
  mLoop.post([pair]() {});
}

} // namespace magnoliadrum
